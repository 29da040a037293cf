#ifndef PARSLEYRING_CORE_TEXTCHECKS_H
#define PARSLEYRING_CORE_TEXTCHECKS_H

#include <string>
#include <string_view>

namespace parsleyring {

enum class PortZero {
  Refused,
  Allowed, ///< For listen addresses: the kernel chooses a free port.
};

/// True for "IPv4:port" and "[IPv6]:port".
bool isSocketAddress(std::string_view Text,
                     PortZero PortZeroRule = PortZero::Refused);

/// True for 1 to 64 letters, digits, '.', '_' and '-': names that are used in
/// URL paths and request ids.
bool isIdentifier(std::string_view Text);

/// True for 1 to 128 bytes without control characters.
bool isPrintableName(std::string_view Text);

/// True for a SHA-256 in lower-case hexadecimal digits.
bool isSha256Hex(std::string_view Text);

/// True for an even number of hexadecimal digits of either case.
bool isHex(std::string_view Text);

/// Messages of findings for texts that the functions above reject.
inline constexpr std::string_view AddressRequirement =
    "must be IP:port, for example 127.0.0.1:8080 or [::1]:8080";
inline constexpr std::string_view IdentifierRequirement =
    "must be 1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view PrintableNameRequirement =
    "must be 1 to 128 bytes without control characters";

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TEXTCHECKS_H
