#include "core/TextChecks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace parsleyring {

static bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

static bool isAlphanumeric(char Letter) {
  return isDigit(Letter) || (Letter >= 'a' && Letter <= 'z') ||
         (Letter >= 'A' && Letter <= 'Z');
}

static bool isPort(std::string_view Text, PortZero Zero) {
  unsigned Port = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return false;
  return Port <= 65535 && (Port > 0 || Zero == PortZero::Allowed);
}

bool isAddress(std::string_view Text, PortZero Zero) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isPort(Text.substr(Colon + 1), Zero))
    return false;
  std::string Host(Text.substr(0, Colon));
  unsigned char Parsed[sizeof(in6_addr)];
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(),
                     Parsed) == 1;
  return inet_pton(AF_INET, Host.c_str(), Parsed) == 1;
}

bool isIdentifier(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return isAlphanumeric(Letter) || Letter == '.' || Letter == '_' ||
                  Letter == '-';
         });
}

bool isPrintableName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 128 &&
         std::none_of(Text.begin(), Text.end(), [](char Letter) {
           auto Code = static_cast<unsigned char>(Letter);
           return Code < 0x20 || Code == 0x7f;
         });
}

bool isSha256Hex(std::string_view Text) {
  return Text.size() == 64 &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return isDigit(Letter) || (Letter >= 'a' && Letter <= 'f');
         });
}

bool isHex(std::string_view Text) {
  return Text.size() % 2 == 0 &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return isDigit(Letter) || (Letter >= 'a' && Letter <= 'f') ||
                  (Letter >= 'A' && Letter <= 'F');
         });
}

} // namespace parsleyring
