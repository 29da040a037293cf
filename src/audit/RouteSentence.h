#ifndef PARSLEYRING_AUDIT_ROUTESENTENCE_H
#define PARSLEYRING_AUDIT_ROUTESENTENCE_H

#include "audit/RequestHistory.h"

namespace parsleyring {

/// Explains a route record: why the route was chosen, or that none was found.
std::string routeSentence(const RequestHistory &History,
                          const AuditRecord &Record);

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_ROUTESENTENCE_H
