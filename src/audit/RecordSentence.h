#ifndef PARSLEYRING_AUDIT_RECORDSENTENCE_H
#define PARSLEYRING_AUDIT_RECORDSENTENCE_H

#include "audit/RequestHistory.h"

namespace parsleyring {

/// Tells in plain sentences what a record of a request says.
std::string recordSentence(const RequestHistory &History,
                           const AuditRecord &Record);

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_RECORDSENTENCE_H
