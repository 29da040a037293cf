#ifndef PARSLEYRING_TESTS_SUPPORT_EVENTUALLY_H
#define PARSLEYRING_TESTS_SUPPORT_EVENTUALLY_H

#include <chrono>
#include <functional>

namespace parsleyring {

/// Long, since the machine may be loaded; only a failing test waits this long.
inline constexpr std::chrono::seconds EventuallyLimit{60};

/// Polls until Condition returns true. Returns false after Limit.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit = EventuallyLimit);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_EVENTUALLY_H
