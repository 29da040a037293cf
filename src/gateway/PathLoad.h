#ifndef PARSLEYRING_GATEWAY_PATHLOAD_H
#define PARSLEYRING_GATEWAY_PATHLOAD_H

#include "routing/LayerPathPlanner.h"

namespace parsleyring {

/// Counts a request and its tokens in the load of the endpoints of its path
/// until the path is cleared.
class PathLoad {
public:
  PathLoad() = default;
  PathLoad(const PathLoad &) = delete;
  PathLoad &operator=(const PathLoad &) = delete;
  ~PathLoad() { clear(); }

  void set(LayerPath Path, double Tokens) {
    clear();
    m_Path = std::move(Path);
    m_Tokens = Tokens;
    count(1);
  }
  void clear() {
    count(-1);
    m_Path.clear();
  }
  const LayerPath &path() const { return m_Path; }

private:
  void count(int Sign) {
    if (!m_Path.empty())
      m_Path.front().m_Endpoint->m_RunningAsFirst += Sign;
    for (const PathStage &Part : m_Path) {
      Part.m_Endpoint->m_Running += Sign;
      Part.m_Endpoint->m_Tokens +=
          Sign * m_Tokens * (Part.m_Layers.m_End - Part.m_Layers.m_First);
    }
  }

  LayerPath m_Path;
  double m_Tokens = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_PATHLOAD_H
