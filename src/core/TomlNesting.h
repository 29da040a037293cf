#ifndef PARSLEYRING_CORE_TOMLNESTING_H
#define PARSLEYRING_CORE_TOMLNESTING_H

#include <string_view>

namespace parsleyring {

/// Maximum number of dots in a line of TOML, outside of strings and comments.
/// The count restarts at each comma.
inline constexpr int MaxTomlDots = 32;

/// Returns the line of the first key that nests too deeply; 0 if there is none.
/// toml++ limits only the nesting of values: it creates a table for each part
/// of a dotted key, and its recursive destructor overflows the stack.
int lineOfTooDeepTomlKey(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TOMLNESTING_H
