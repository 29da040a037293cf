#ifndef PARSLEYRING_NODE_NODECLOCK_H
#define PARSLEYRING_NODE_NODECLOCK_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Wall-clock time, anchored once at the start to a steady clock, so that it
/// never goes back.
class NodeClock {
public:
  NodeClock()
      : m_Wall(std::chrono::time_point_cast<Duration>(
            std::chrono::system_clock::now())),
        m_Steady(std::chrono::steady_clock::now()) {}

  Time now() const {
    return m_Wall + std::chrono::duration_cast<Duration>(
                        std::chrono::steady_clock::now() - m_Steady);
  }

private:
  Time m_Wall;
  std::chrono::steady_clock::time_point m_Steady;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_NODECLOCK_H
