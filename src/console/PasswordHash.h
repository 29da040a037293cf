#ifndef PARSLEYRING_CONSOLE_PASSWORDHASH_H
#define PARSLEYRING_CONSOLE_PASSWORDHASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyring {

/// Rounds of new hashes; about a quarter of a second on one core.
inline constexpr std::uint32_t DefaultPasswordRounds = 600000;

/// "pbkdf2-sha256$ROUNDS$SALT-HEX$HASH-HEX" with a new random salt.
std::string hashPassword(std::string_view Password,
                         std::uint32_t Rounds = DefaultPasswordRounds);

/// Compares in constant time. False for a hash of another form.
bool isPassword(std::string_view Password, std::string_view Hash);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_PASSWORDHASH_H
