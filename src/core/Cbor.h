#ifndef PARSLEYRING_CORE_CBOR_H
#define PARSLEYRING_CORE_CBOR_H

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyring {

/// Reads one CBOR value from bytes of any origin. Returns a discarded value if
/// the bytes are not one, state more entries than there are bytes, or are
/// nested deeper than messages between VMs are.
nlohmann::json parseCbor(const std::string &Bytes);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_CBOR_H
