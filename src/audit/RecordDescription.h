#ifndef PARSLEYRING_AUDIT_RECORDDESCRIPTION_H
#define PARSLEYRING_AUDIT_RECORDDESCRIPTION_H

#include "audit/RequestHistory.h"

namespace parsleyring {

/// Returns the content of a record of a request as plain sentences.
std::string describeRecord(const RequestHistory &History,
                           const AuditRecord &Record);

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_RECORDDESCRIPTION_H
