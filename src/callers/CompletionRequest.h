#ifndef PARSLEYRING_CALLERS_COMPLETIONREQUEST_H
#define PARSLEYRING_CALLERS_COMPLETIONREQUEST_H

#include "callers/CallerPayload.h"
#include "parsleyring/Events.h"

#include <string_view>
#include <vector>

namespace parsleyring {

/// Parses the JSON body of POST /v1/completions. All errors are appended to
/// Findings with their position or field; without errors the result is valid.
CompletionPayload parseCompletionRequest(std::string_view Body,
                                         std::vector<Finding> &Findings);

/// The messages of the findings, with their keys, separated by "; ".
std::string joinFindings(const std::vector<Finding> &Findings);

/// Estimated number of tokens of a text: one per 4 bytes, rounded up.
std::uint32_t estimatedTokens(std::string_view Text);

/// Event for a completion, with the estimated prompt tokens and prefix hashes.
CompletionArrived completionArrived(RequestNumber Request,
                                    const std::string &AccountKeySha256,
                                    const CompletionPayload &Payload);

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_COMPLETIONREQUEST_H
