#ifndef PARSLEYRING_CORE_SOCKETADDRESS_H
#define PARSLEYRING_CORE_SOCKETADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// An IP address (IPv6 without brackets) and a port.
struct SocketAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;
};

/// Parses "IPv4:port" and "[IPv6]:port"; host names are not accepted.
std::optional<SocketAddress> parseSocketAddress(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_SOCKETADDRESS_H
