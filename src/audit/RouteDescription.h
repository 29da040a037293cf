#ifndef PARSLEYRING_AUDIT_ROUTEDESCRIPTION_H
#define PARSLEYRING_AUDIT_ROUTEDESCRIPTION_H

#include "audit/RequestHistory.h"

namespace parsleyring {

/// Explains a route record: why the route was chosen, or that none was found.
std::string describeRoute(const RequestHistory &History,
                          const AuditRecord &Record);

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_ROUTEDESCRIPTION_H
