#include "core/TextChecks.h"

#include "core/SocketAddress.h"

#include <algorithm>

namespace parsleyring {

static bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

static bool isAlphanumeric(char Letter) {
  return isDigit(Letter) || (Letter >= 'a' && Letter <= 'z') ||
         (Letter >= 'A' && Letter <= 'Z');
}

bool isAddress(std::string_view Text, PortZero Zero) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Text);
  return Parsed && (Parsed->m_Port > 0 || Zero == PortZero::Allowed);
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
