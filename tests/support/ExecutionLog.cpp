#include "support/ExecutionLog.h"

#include <sstream>

namespace parsleyring {

static unsigned countOf(const std::map<std::string, unsigned> &Counts,
                        const std::string &Name) {
  auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

ExecutionLog::ExecutionLog(const TestCluster &Cluster) {
  auto Read = [&](const std::string &Process) {
    std::istringstream Lines(Cluster.outputOf(Process));
    for (std::string Line; std::getline(Lines, Line);) {
      std::istringstream Words(Line);
      std::string Kind;
      std::string Key;
      std::string Request;
      Words >> Kind >> Key >> Request;
      if (Kind == "executed") {
        ++m_CountsByKey[Key];
        ++m_CountsByRequest[Request];
      } else if (Kind == "started") {
        ++m_CountsByRequest[Key];
      }
    }
  };
  for (const std::string &Name : TestCluster::engineNames())
    Read(Name);
  for (const std::string &Name : TestCluster::serviceNames())
    Read(Name);
}

unsigned ExecutionLog::countForKey(const std::string &Key) const {
  return countOf(m_CountsByKey, Key);
}

unsigned ExecutionLog::countForRequest(const std::string &Id) const {
  return countOf(m_CountsByRequest, Id);
}

std::string findOutcomeError(const HttpAnswer &Answer,
                             const ExecutionLog &Log) {
  std::string Text = std::to_string(Answer.m_Status) + " " + Answer.m_Body;
  std::string Outcome = Answer.header("X-Outcome");
  std::string Id = Answer.header("X-Request-Id");
  bool IsNotRun = Outcome == "not-run";
  // The headers of a stream are sent before its outcome is known.
  std::vector<std::string> Events = eventData(Answer.m_Body);
  if (!Events.empty()) {
    if (Events.size() < 2 || Events.back() != "[DONE]")
      return "the stream does not end with [DONE]: " + Text;
    const std::string &Last = Events[Events.size() - 2];
    if (Last.find("\"outcome\"") == std::string::npos)
      return "the last event of the stream has no outcome: " + Text;
    IsNotRun = Last.find("\"not-run\"") != std::string::npos;
  } else if (Outcome.empty()) {
    return "the X-Outcome header is missing: " + Text;
  }
  if (IsNotRun && Log.countForRequest(Id) > 0)
    return "outcome not-run, but " + Id + " was executed: " + Text;
  return {};
}

} // namespace parsleyring
