#ifndef PARSLEYRING_AUDIT_ROUTESENTENCE_H
#define PARSLEYRING_AUDIT_ROUTESENTENCE_H

#include "audit/RequestHistory.h"

namespace parsleyring {

/// Tells why a route was chosen, or that none was found, from its record.
std::string routeSentence(const RequestHistory &History,
                          const AuditRecord &Record);

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_ROUTESENTENCE_H
