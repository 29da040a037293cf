#include "emulator/WorkGate.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>

namespace parsleyring {

std::int64_t wallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void WorkGate::drain(const std::string &Body) {
  nlohmann::json Given =
      Body.empty() ? nlohmann::json::object() : nlohmann::json::parse(Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsReported = Given.value("report", true);
  m_Refusals =
      Given.value("refusals", std::numeric_limits<std::uint64_t>::max());
}

bool WorkGate::isDrainReported() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_IsReported;
}

bool WorkGate::takeRefusal() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Refusals == 0)
    return false;
  --m_Refusals;
  return true;
}

void WorkGate::noteStart() { m_LastStartMillis = wallClockMillis(); }

} // namespace parsleyring
