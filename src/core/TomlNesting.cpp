#include "core/TomlNesting.h"

#include <algorithm>

namespace parsleyring {

/// Returns the length of the string literal at the start of Text, including its
/// quotes. Malformed literals need no exact length: the parser rejects them.
static std::size_t stringLength(std::string_view Text) {
  static constexpr std::size_t TripleLength = 3;
  const char Quote = Text.front();
  const bool HasEscapes = Quote == '"';
  const bool IsTriple =
      Text.size() >= TripleLength && Text[1] == Quote && Text[2] == Quote;
  std::size_t At = IsTriple ? TripleLength : 1;
  for (; At < Text.size(); ++At) {
    if (HasEscapes && Text[At] == '\\') {
      ++At;
      continue;
    }
    if (!IsTriple && (Text[At] == Quote || Text[At] == '\n'))
      return At + (Text[At] == Quote ? 1 : 0);
    if (!IsTriple || Text[At] != Quote)
      continue;
    // The content may end with one or two quotes before the closing three.
    std::size_t End = std::min(Text.find_first_not_of(Quote, At), Text.size());
    if (End - At >= TripleLength)
      return End;
    At = End - 1;
  }
  return Text.size();
}

int lineOfTooDeepTomlKey(std::string_view Text) {
  int Line = 1;
  int Dots = 0;
  while (!Text.empty()) {
    std::size_t Length = 1;
    switch (Text.front()) {
    case '"':
    case '\'':
      Length = stringLength(Text);
      Line += static_cast<int>(
          std::count(Text.begin(), Text.begin() + Length, '\n'));
      break;
    case '#':
      Length = std::min(Text.find('\n'), Text.size());
      break;
    case '\n':
      ++Line;
      Dots = 0;
      break;
    case ',':
      Dots = 0;
      break;
    case '.':
      if (++Dots > MaxTomlDots)
        return Line;
      break;
    default:
      break;
    }
    Text.remove_prefix(Length);
  }
  return 0;
}

} // namespace parsleyring
