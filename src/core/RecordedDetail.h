#ifndef PARSLEYRING_CORE_RECORDEDDETAIL_H
#define PARSLEYRING_CORE_RECORDEDDETAIL_H

#include "parsleyring/Events.h"

namespace parsleyring {

/// The detail of an attempt's end as it may stand in audit records and traces:
/// of bounded length and without text of the endpoint that may quote the
/// prompt or the answer. Of an error that the endpoint states, only its code
/// remains. Applying it again changes nothing.
std::string recordedDetail(const AttemptEnded &End);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_RECORDEDDETAIL_H
