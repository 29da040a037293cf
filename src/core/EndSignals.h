#ifndef PARSLEYRING_CORE_ENDSIGNALS_H
#define PARSLEYRING_CORE_ENDSIGNALS_H

#include <csignal>

namespace parsleyring {

/// The signals that ask a daemon to end. They stay blocked in the thread that
/// makes the object and in all threads that it starts later, so a further one
/// changes nothing. SIGPIPE is ignored.
class EndSignals {
public:
  EndSignals();

  /// Returns after the first of the signals.
  void wait() const;

private:
  sigset_t m_Signals;
};

} // namespace parsleyring

#endif // PARSLEYRING_CORE_ENDSIGNALS_H
