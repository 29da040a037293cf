#ifndef PARSLEYRING_TESTS_SUPPORT_TRACESHORTENER_H
#define PARSLEYRING_TESTS_SUPPORT_TRACESHORTENER_H

#include <string>

namespace parsleyring {

/// Removes the records that a replay of a VM's trace does not need: most ticks
/// that lead to no decision, and records of modules other than the Router.
std::string shortenedTrace(const std::string &Trace);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_TRACESHORTENER_H
