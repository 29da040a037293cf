#ifndef PARSLEYRING_CONSOLE_BASE64URL_H
#define PARSLEYRING_CONSOLE_BASE64URL_H

#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Base64 with the alphabet for URLs and without padding (RFC 4648, section
/// 5): it needs no escaping in forms and in HTML.
std::string encodeBase64Url(std::string_view Bytes);
std::optional<std::string> decodeBase64Url(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_BASE64URL_H
