#ifndef PARSLEYRING_CORE_BASE64_H
#define PARSLEYRING_CORE_BASE64_H

#include <optional>
#include <string>

namespace parsleyring {

std::string encodeBase64(const std::string &Bytes);
/// Returns nullopt if Text is not standard base64 with padding.
std::optional<std::string> decodeBase64(const std::string &Text);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_BASE64_H
