#ifndef PARSLEYRING_CORE_REDACTEDDETAIL_H
#define PARSLEYRING_CORE_REDACTEDDETAIL_H

#include "parsleyring/Events.h"

namespace parsleyring {

/// Returns the detail of an ended attempt for audit records and traces: at most
/// 200 bytes, without endpoint text that may quote the prompt or the answer. Of
/// an error reported by the endpoint, only the code is kept. Idempotent.
std::string redactedDetail(const AttemptEnded &End);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_REDACTEDDETAIL_H
