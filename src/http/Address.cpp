#include "http/Address.h"

#include <charconv>

namespace parsleyring {

static constexpr int MaxPort = 65535;

std::optional<Address> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  Address Result{std::string(Host), -1};
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.m_Port);
  if (Error != std::errc() || End != Port.data() + Port.size() ||
      Result.m_Port < 0 || Result.m_Port > MaxPort)
    return std::nullopt;
  return Result;
}

} // namespace parsleyring
