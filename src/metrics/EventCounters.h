#ifndef PARSLEYRING_METRICS_EVENTCOUNTERS_H
#define PARSLEYRING_METRICS_EVENTCOUNTERS_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace parsleyring {

/// Counters by name, for events rare enough to share one mutex. Thread-safe.
class EventCounters {
public:
  void add(const std::string &Name, std::uint64_t Amount = 1) {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Totals[Name] += Amount;
  }

  std::map<std::string, std::uint64_t> totals() const {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    return m_Totals;
  }

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, std::uint64_t> m_Totals;
};

} // namespace parsleyring

#endif // PARSLEYRING_METRICS_EVENTCOUNTERS_H
