#ifndef PARSLEYRING_NODE_NODECLOCK_H
#define PARSLEYRING_NODE_NODECLOCK_H

#include "parsleyring/Types.h"

#include <ctime>

namespace parsleyring {

/// Monotonic wall-clock time: the wall clock at the start plus the time since
/// then by CLOCK_BOOTTIME, which includes time in which the VM is suspended,
/// since leases and deadlines continue to run.
class NodeClock {
public:
  NodeClock()
      : m_WallClockAtStart(std::chrono::time_point_cast<Duration>(
            std::chrono::system_clock::now())),
        m_TimeSinceBootAtStart(sinceBoot()) {}

  Time now() const {
    return m_WallClockAtStart + (sinceBoot() - m_TimeSinceBootAtStart);
  }

private:
  static Duration sinceBoot() {
    timespec Now{};
    clock_gettime(CLOCK_BOOTTIME, &Now);
    return std::chrono::seconds(Now.tv_sec) + Duration(Now.tv_nsec / 1000);
  }

  Time m_WallClockAtStart;
  Duration m_TimeSinceBootAtStart;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_NODECLOCK_H
