#ifndef PARSLEYRING_CORE_TERMINATIONSIGNALS_H
#define PARSLEYRING_CORE_TERMINATIONSIGNALS_H

#include <csignal>

namespace parsleyring {

/// Waits for SIGTERM or SIGINT. The signals stay blocked in the constructing
/// thread and in all threads that it starts later, so that a second signal has
/// no effect. SIGPIPE is ignored.
class TerminationSignals {
public:
  TerminationSignals();

  /// Blocks until the first of the signals arrives.
  void wait() const;

private:
  sigset_t m_Signals;
};

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TERMINATIONSIGNALS_H
