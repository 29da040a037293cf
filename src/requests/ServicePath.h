#ifndef PARSLEYRING_REQUESTS_SERVICEPATH_H
#define PARSLEYRING_REQUESTS_SERVICEPATH_H

#include "parsleyring/Document.h"

#include <string>

namespace parsleyring {

/// Removes query and fragment, which may hold data that must not be recorded.
std::string withoutQuery(const std::string &Path);

/// The path as most services interpret it: percent-encoding decoded once, empty
/// and "." segments removed, ".." segments resolved.
std::string canonicalPath(const std::string &Path);

/// True only if the rules allow repeats both of the path as sent and of the
/// canonical path. With one check alone, a caller could evade a rule with
/// another spelling, for example "//pay" or "/%70ay".
bool isIdempotentCall(const Document &Configuration, const std::string &Pool,
                      const std::string &Method, const std::string &Path);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_SERVICEPATH_H
