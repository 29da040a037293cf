#ifndef PARSLEYRING_TESTS_SUPPORT_TRACESHORTENER_H
#define PARSLEYRING_TESTS_SUPPORT_TRACESHORTENER_H

#include <string>

namespace parsleyring {

/// A trace of one VM without what its decisions do not need: most ticks without
/// a decision, and records of other modules than the Router.
std::string shortenedTrace(const std::string &Trace);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_TRACESHORTENER_H
