#include "core/SocketAddress.h"

#include <arpa/inet.h>

#include <charconv>

namespace parsleyring {

std::optional<SocketAddress> parseSocketAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  SocketAddress Address;
  std::string_view Port = Text.substr(Colon + 1);
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Address.m_Port);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  Address.m_Host = Text.substr(0, Colon);
  int Family = AF_INET;
  std::string &Host = Address.m_Host;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    Host = Host.substr(1, Host.size() - 2);
    Family = AF_INET6;
  }
  unsigned char Parsed[sizeof(in6_addr)];
  if (inet_pton(Family, Host.c_str(), Parsed) != 1)
    return std::nullopt;
  return Address;
}

} // namespace parsleyring
