#ifndef PARSLEYRING_GATEWAY_REQUESTFINGERPRINT_H
#define PARSLEYRING_GATEWAY_REQUESTFINGERPRINT_H

#include "gateway/CallerConnection.h"

#include <string>

namespace parsleyring {

/// Identifies repetitions of a request: equal on all VMs if the client account,
/// the method, the host, the path and the body are, and for a stream the parts
/// of its prompt as stated in its header; empty for other requests.
std::string requestFingerprint(const CallerRequest &Request,
                               const std::string &Account,
                               const std::string &PromptParts = "");

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_REQUESTFINGERPRINT_H
