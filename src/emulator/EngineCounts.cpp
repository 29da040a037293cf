#include "emulator/EngineCounts.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace parsleyring {

void EngineCounts::recordStart(const std::string &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Starts;
  ++m_Requests[Request].m_Starts;
  std::cout << "started " << Request << std::endl;
}

void EngineCounts::recordRefusal() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Refusals;
}

void EngineCounts::recordCancel() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Cancels;
}

void EngineCounts::recordToken(const std::string &Request,
                               std::uint32_t Position,
                               const Computation &Computed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Tokens;
  m_Requests[Request].m_Computations[Position].push_back(Computed);
}

static std::int64_t micros(EngineCounts::Clock::time_point At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             At.time_since_epoch())
      .count();
}

std::string EngineCounts::json(const std::string &Layers,
                               const std::string &Request,
                               std::int64_t LastStartMillis) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  nlohmann::json Requests = nlohmann::json::object();
  for (const auto &[Name, Entry] : m_Requests) {
    if (!Request.empty() && Name != Request)
      continue;
    nlohmann::json Positions = nlohmann::json::object();
    nlohmann::json Runs = nlohmann::json::object();
    for (const auto &[Position, Computed] : Entry.m_Computations) {
      std::string Key = std::to_string(Position);
      Positions[Key][Layers] = Computed.size();
      for (const Computation &Each : Computed)
        Runs[Key].push_back(
            {Each.m_Epoch, micros(Each.m_Begin), micros(Each.m_End)});
    }
    Requests[Name] = {{"starts", Entry.m_Starts},
                      {"positions", std::move(Positions)},
                      {"runs", std::move(Runs)}};
  }
  return nlohmann::json{{"starts", m_Starts},
                        {"refusals", m_Refusals},
                        {"cancels", m_Cancels},
                        {"tokens", m_Tokens},
                        {"last_start_ms", LastStartMillis},
                        {"requests", Requests}}
      .dump();
}

} // namespace parsleyring
