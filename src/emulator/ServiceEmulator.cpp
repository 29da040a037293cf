#include "emulator/ServiceEmulator.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace parsleyring {

using Json = nlohmann::json;

ServiceEmulator::ServiceEmulator(const ServiceOptions &Options)
    : m_Options(Options), m_Incarnation(std::to_string(wallClockMillis()) +
                                        "-" + std::to_string(getpid())),
      m_Server([this](const EmulatorCall &Call, HttpReply &Reply) {
        respond(Call, Reply);
      }) {}

void ServiceEmulator::run() {
  m_Server.bind(m_Options.m_Listen);
  m_Server.run();
}

void ServiceEmulator::respond(const EmulatorCall &Call, HttpReply &Reply) {
  if (Call.m_Path == "/load") {
    Reply.m_Body = loadJson();
  } else if (Call.m_Path == "/admin/counts") {
    Reply.m_Body = countsJson();
  } else if (Call.m_Path == "/admin/freeze") {
    m_Server.freezeConnections();
  } else if (Call.m_Path == "/admin/drain") {
    m_DrainState.drain(Call.m_Body);
  } else {
    execute(Call, Reply);
  }
}

void ServiceEmulator::execute(const EmulatorCall &Call, HttpReply &Reply) {
  std::string Key = Call.header("idempotency-key");
  if (Key.empty())
    Key = Call.header("x-request-id");
  std::uint32_t Execution = 0;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (m_DrainState.takeRefusal()) {
      ++m_Refusals;
      Reply.m_Status = 503;
      Reply.m_Headers["X-Outcome"] = "not-run";
      return;
    }
    ++m_TotalExecutions;
    m_DrainState.recordStart();
    ++m_Running;
    Execution = ++m_ExecutionsByKey[Key];
    std::cout << "executed " << Key << " " << Call.header("x-request-id")
              << std::endl;
  }
  std::this_thread::sleep_for(
      std::chrono::milliseconds(m_Options.m_DelayMillis));
  std::lock_guard<std::mutex> Lock(m_Mutex);
  --m_Running;
  Reply.m_Body = Json{
      {"endpoint", m_Options.m_Endpoint},
      {"method", Call.m_Method},
      {"path", Call.m_Path},
      {"key", Key},
      {"execution",
       Execution}}.dump();
}

std::string ServiceEmulator::loadJson() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return Json{{"endpoint", m_Options.m_Endpoint},
              {"incarnation", m_Incarnation},
              {"at_ms", wallClockMillis()},
              {"running", m_Running},
              {"waiting", 0},
              {"slots", 64},
              {"draining", m_DrainState.isDrainReported()},
              {"cached_prefixes", Json::array()}}
      .dump();
}

std::string ServiceEmulator::countsJson() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return Json{{"executions", m_TotalExecutions},
              {"refusals", m_Refusals},
              {"last_start_ms", m_DrainState.lastStartMillis()},
              {"keys", m_ExecutionsByKey}}
      .dump();
}

} // namespace parsleyring
