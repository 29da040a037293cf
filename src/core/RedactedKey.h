#ifndef PARSLEYRING_CORE_REDACTEDKEY_H
#define PARSLEYRING_CORE_REDACTEDKEY_H

#include <string>
#include <string_view>

namespace parsleyring {

/// The form in which an idempotency key may appear in records:
/// "sha256:<hex>". A key that has this form already is returned as it is, so a
/// replayed trace gives the same records. Empty for an empty key.
std::string redactedKey(std::string_view Key);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_REDACTEDKEY_H
