#ifndef PARSLEYRING_CONSOLE_CRYPTOGRAPHY_H
#define PARSLEYRING_CONSOLE_CRYPTOGRAPHY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace parsleyring {

/// Lower-case hexadecimal HMAC-SHA256.
std::string hmacSha256Hex(std::string_view Secret, std::string_view Message);

/// Compares in a time that depends only on the lengths.
bool isEqualInConstantTime(std::string_view Left, std::string_view Right);

/// Cryptographically secure random bytes. Throws std::runtime_error.
std::string randomBytes(std::size_t Count);

/// Lower-case hexadecimal.
std::string toHex(std::string_view Bytes);
/// Requires isHex(Text).
std::string fromHex(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CRYPTOGRAPHY_H
