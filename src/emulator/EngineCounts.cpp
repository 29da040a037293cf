#include "emulator/EngineCounts.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace parsleyring {

void EngineCounts::noteStart(const std::string &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Starts;
  ++m_Requests[Request].m_Starts;
  std::cout << "started " << Request << std::endl;
}

void EngineCounts::noteRefusal() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Refusals;
}

void EngineCounts::noteCancel() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Cancels;
}

void EngineCounts::noteToken(const std::string &Request,
                             std::uint32_t Position) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Tokens;
  ++m_Requests[Request].m_Computed[Position];
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
    for (auto [Position, Times] : Entry.m_Computed)
      Positions[std::to_string(Position)][Layers] = Times;
    Requests[Name] = {{"starts", Entry.m_Starts}, {"positions", Positions}};
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
