#include "core/TextChecks.h"

#include "core/SocketAddress.h"

#include <algorithm>

namespace parsleyring {

static bool isDigit(char Character) {
  return Character >= '0' && Character <= '9';
}

static bool isAlphanumeric(char Character) {
  return isDigit(Character) || (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z');
}

bool isSocketAddress(std::string_view Text, PortZero PortZeroRule) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Text);
  return Parsed && (Parsed->m_Port > 0 || PortZeroRule == PortZero::Allowed);
}

bool isIdentifier(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return isAlphanumeric(Character) || Character == '.' ||
                  Character == '_' || Character == '-';
         });
}

bool isPrintableName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 128 &&
         std::none_of(Text.begin(), Text.end(), [](char Character) {
           auto Code = static_cast<unsigned char>(Character);
           return Code < 0x20 || Code == 0x7f;
         });
}

bool isSha256Hex(std::string_view Text) {
  return Text.size() == 64 &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return isDigit(Character) || (Character >= 'a' && Character <= 'f');
         });
}

bool isHex(std::string_view Text) {
  return Text.size() % 2 == 0 &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return isDigit(Character) ||
                  (Character >= 'a' && Character <= 'f') ||
                  (Character >= 'A' && Character <= 'F');
         });
}

} // namespace parsleyring
