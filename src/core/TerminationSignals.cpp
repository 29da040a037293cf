#include "core/TerminationSignals.h"

#include <pthread.h>

namespace parsleyring {

TerminationSignals::TerminationSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigemptyset(&m_Signals);
  sigaddset(&m_Signals, SIGTERM);
  sigaddset(&m_Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &m_Signals, nullptr);
}

void TerminationSignals::wait() const {
  int Signal = 0;
  sigwait(&m_Signals, &Signal);
}

} // namespace parsleyring
