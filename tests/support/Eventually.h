#ifndef PARSLEYRING_TESTS_SUPPORT_EVENTUALLY_H
#define PARSLEYRING_TESTS_SUPPORT_EVENTUALLY_H

#include <chrono>
#include <functional>

namespace parsleyring {

/// Generous, since the machine may be loaded; only failures take so long.
inline constexpr std::chrono::seconds EventuallyLimit{60};

/// Polls until the condition holds. Returns false after the limit.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit = EventuallyLimit);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_EVENTUALLY_H
