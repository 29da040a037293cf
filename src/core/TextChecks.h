#ifndef PARSLEYRING_CORE_TEXTCHECKS_H
#define PARSLEYRING_CORE_TEXTCHECKS_H

#include <string>
#include <string_view>

namespace parsleyring {

enum class PortZero {
  Refused,
  Allowed, ///< The kernel chooses a port to listen on.
};

/// True for "IPv4:port" and "[IPv6]:port".
bool isAddress(std::string_view Text, PortZero Zero = PortZero::Refused);

/// Letters, digits, '.', '_' and '-', 1 to 64 of them: names that stand in
/// paths and ids.
bool isIdentifier(std::string_view Text);

/// 1 to 128 bytes without control characters.
bool isPrintableName(std::string_view Text);

/// Lower-case hexadecimal of a SHA-256.
bool isSha256Hex(std::string_view Text);

/// Hexadecimal digits of either case, an even number of them.
bool isHex(std::string_view Text);

/// What the functions above allow, for findings.
inline constexpr std::string_view AddressForm =
    "must be IP:port, for example 127.0.0.1:8080 or [::1]:8080";
inline constexpr std::string_view IdentifierForm =
    "must be 1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view PrintableNameForm =
    "must be 1 to 128 bytes without control characters";

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TEXTCHECKS_H
