#ifndef PARSLEYRING_CALLERS_COMPLETIONREQUEST_H
#define PARSLEYRING_CALLERS_COMPLETIONREQUEST_H

#include "callers/CallerPayload.h"
#include "parsleyring/Events.h"

#include <string_view>
#include <vector>

namespace parsleyring {

/// Reads the JSON body of POST /v1/completions. All problems are appended to
/// Findings with their position; the result may be used only if there is none.
CompletionPayload parseCompletionRequest(std::string_view Body,
                                         std::vector<Finding> &Findings);

/// "line 1, column 9: ..." for each finding, separated by "; ".
std::string joinFindings(const std::vector<Finding> &Findings);

/// Estimate of the tokens of a text: one per 4 bytes.
std::uint32_t estimatedTokens(std::string_view Text);

/// The event for a completion, with its size estimate and prefix hashes.
CompletionArrived completionArrived(RequestNumber Request,
                                    const std::string &AccountKeySha256,
                                    const CompletionPayload &Payload);

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_COMPLETIONREQUEST_H
