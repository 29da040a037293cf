#ifndef PARSLEYRING_CONSOLE_BASE64URL_H
#define PARSLEYRING_CONSOLE_BASE64URL_H

#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// URL-safe Base64 without padding (RFC 4648, section 5), which needs no
/// escaping in forms and in HTML.
std::string encodeBase64Url(std::string_view Bytes);
/// Empty if Text is malformed.
std::optional<std::string> decodeBase64Url(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_BASE64URL_H
