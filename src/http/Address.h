#ifndef PARSLEYRING_HTTP_ADDRESS_H
#define PARSLEYRING_HTTP_ADDRESS_H

#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// An IP address and a TCP port.
struct Address {
  std::string m_Host;
  int m_Port = 0;
};

/// Parses "IP:port" or "[IP]:port"; port 0 is allowed.
std::optional<Address> parseAddress(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_ADDRESS_H
