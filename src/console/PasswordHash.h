#ifndef PARSLEYRING_CONSOLE_PASSWORDHASH_H
#define PARSLEYRING_CONSOLE_PASSWORDHASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyring {

/// PBKDF2 rounds of new hashes; take about 0.25 s on one core.
inline constexpr std::uint32_t DefaultPasswordRounds = 600000;

/// Returns "pbkdf2-sha256$ROUNDS$SALT-HEX$HASH-HEX" with a new random salt.
std::string hashPassword(std::string_view Password,
                         std::uint32_t Rounds = DefaultPasswordRounds);

/// Checks Password against the result of hashPassword(), in constant time.
/// False if Hash is malformed.
bool verifyPassword(std::string_view Password, std::string_view Hash);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_PASSWORDHASH_H
