#ifndef PARSLEYRING_REQUESTS_SERVICEPATH_H
#define PARSLEYRING_REQUESTS_SERVICEPATH_H

#include "parsleyring/Document.h"

#include <string>

namespace parsleyring {

/// The path without its query, which may hold data that records must not show.
std::string withoutQuery(const std::string &Path);

/// The path that a service is likely to see: percent-encoding removed, empty
/// and "." segments left out, ".." segments resolved.
std::string canonicalPath(const std::string &Path);

/// True only if the path as sent and the canonical path both are idempotent.
/// Otherwise a caller could get around a rule with another spelling, for
/// example "//pay" or "/%70ay".
bool isIdempotentCall(const Document &Configuration, const std::string &Pool,
                      const std::string &Method, const std::string &Path);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_SERVICEPATH_H
