#include "core/RedactedKey.h"

#include "parsleyring/Types.h"

namespace parsleyring {

static constexpr std::string_view Prefix = "sha256:";
static constexpr std::size_t HexDigits = 64;

static bool isRedacted(std::string_view Key) {
  return Key.size() == Prefix.size() + HexDigits &&
         Key.substr(0, Prefix.size()) == Prefix &&
         Key.find_first_not_of("0123456789abcdef", Prefix.size()) ==
             std::string_view::npos;
}

std::string redactedKey(std::string_view Key) {
  if (Key.empty() || isRedacted(Key))
    return std::string(Key);
  return std::string(Prefix) + sha256Hex(Key);
}

} // namespace parsleyring
