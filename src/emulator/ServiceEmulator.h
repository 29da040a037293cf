#ifndef PARSLEYRING_EMULATOR_SERVICEEMULATOR_H
#define PARSLEYRING_EMULATOR_SERVICEEMULATOR_H

#include "emulator/DrainState.h"
#include "emulator/HttpServer.h"

#include <map>
#include <mutex>
#include <string>

namespace parsleyring {

struct ServiceOptions {
  std::string m_Listen;
  std::string m_Endpoint;
  std::uint32_t m_DelayMillis = 0;
};

/// Emulates a server of a plain service. It executes every call, unless it is
/// told to refuse, and counts the executions per idempotency key (or request
/// id, without a key). Before each execution it prints "executed KEY REQUEST":
/// the output is kept if the process is killed.
class ServiceEmulator {
public:
  explicit ServiceEmulator(const ServiceOptions &Options);
  void run();

private:
  void respond(const EmulatorCall &Call, HttpReply &Reply);
  void execute(const EmulatorCall &Call, HttpReply &Reply);
  std::string loadJson();
  std::string countsJson();

  const ServiceOptions m_Options;
  const std::string m_Incarnation;
  std::mutex m_Mutex;
  std::map<std::string, std::uint32_t> m_ExecutionsByKey;
  std::uint64_t m_TotalExecutions = 0;
  std::uint64_t m_Refusals = 0;
  std::uint32_t m_Running = 0;
  DrainState m_DrainState;
  HttpServer m_Server;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_SERVICEEMULATOR_H
