#ifndef PARSLEYRING_CORE_TOMLNESTING_H
#define PARSLEYRING_CORE_TOMLNESTING_H

#include <string_view>

namespace parsleyring {

/// Dots that a line of TOML may have outside of strings and comments, counted
/// from the last comma on.
inline constexpr int MaxTomlDots = 32;

/// Line of the first key that nests too deeply; 0 if there is none. toml++
/// limits the nesting of values only: it makes a table for each part of a
/// dotted key, and its recursive destructor overflows the stack.
int lineOfDeepTomlKey(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TOMLNESTING_H
