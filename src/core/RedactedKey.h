#ifndef PARSLEYRING_CORE_REDACTEDKEY_H
#define PARSLEYRING_CORE_REDACTEDKEY_H

#include <string>
#include <string_view>

namespace parsleyring {

/// Returns an idempotency key in the form used in audit records and traces:
/// "sha256:<hex>". A key that already has this form is returned unchanged, so
/// that replaying a trace gives the same records. Empty for an empty key.
std::string redactedKey(std::string_view Key);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_REDACTEDKEY_H
