#ifndef PARSLEYRING_CORE_SCOPEGUARD_H
#define PARSLEYRING_CORE_SCOPEGUARD_H

#include <utility>

namespace parsleyring {

/// Runs Action, which must not throw, at the end of a scope, also when an
/// exception leaves it.
template <typename Action> class ScopeGuard {
public:
  explicit ScopeGuard(Action OnExit) : m_OnExit(std::move(OnExit)) {}
  ~ScopeGuard() { m_OnExit(); }
  ScopeGuard(const ScopeGuard &) = delete;
  ScopeGuard &operator=(const ScopeGuard &) = delete;

private:
  Action m_OnExit;
};

} // namespace parsleyring

#endif // PARSLEYRING_CORE_SCOPEGUARD_H
