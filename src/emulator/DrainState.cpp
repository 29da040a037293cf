#include "emulator/DrainState.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>

namespace parsleyring {

std::int64_t wallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void DrainState::drain(const std::string &Body) {
  nlohmann::json Fields =
      Body.empty() ? nlohmann::json::object() : nlohmann::json::parse(Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsDrainReported = Fields.value("report", true);
  m_RemainingRefusals =
      Fields.value("refusals", std::numeric_limits<std::uint64_t>::max());
}

bool DrainState::isDrainReported() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_IsDrainReported;
}

bool DrainState::takeRefusal() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_RemainingRefusals == 0)
    return false;
  --m_RemainingRefusals;
  return true;
}

void DrainState::recordStart() { m_LastStartMillis = wallClockMillis(); }

} // namespace parsleyring
