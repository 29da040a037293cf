#include "load/LoadCaller.h"

#include "emulator/TokenText.h"
#include "endpoints/EventStreamParser.h"
#include "http/EndpointConnection.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleyring {

using Json = nlohmann::json;
using std::chrono::microseconds;

static constexpr std::chrono::seconds ConnectTimeout{1};
static constexpr int StatusOk = 200;

/// Reads the response to a streamed completion as it arrives.
class LoadCaller::CompletionReader {
public:
  CompletionReader(const LoadCaller &Caller, const PlannedCall &Planned,
                   CallResult &Result)
      : m_Caller(Caller), m_Seed(promptSeed(Planned.m_Prompt)),
        m_Result(Result), m_Parser([this](const std::string &Data) {
          return handleEvent(Data);
        }) {}

  void receive(std::string_view Bytes) { m_Parser.feed(Bytes); }
  bool hasEnded() const { return m_HasEnded; }

private:
  bool handleEvent(const std::string &Data) {
    if (Data == "[DONE]") {
      m_HasEnded = true;
      return false;
    }
    Json Parsed = Json::parse(Data, nullptr, false);
    if (!Parsed.is_object())
      return true;
    if (Parsed.contains("error"))
      m_Result.m_Outcome = Parsed["error"].value("outcome", "unknown");
    else if (Parsed.contains("outcome"))
      m_Result.m_Outcome = Parsed.value("outcome", "unknown");
    else
      handleToken(Parsed);
    return true;
  }

  void handleToken(const Json &Parsed) {
    std::uint32_t Position = Parsed.value("position", 0U);
    const Json &Text = Parsed["choices"][0]["text"];
    if (Position != m_NextPosition || Text != tokenText(m_Seed, Position))
      ++m_Result.m_WrongTokens;
    ++m_NextPosition;
    if (m_NextPosition > m_Result.m_TokenTimes.size())
      m_Result.m_TokenTimes.push_back(m_Caller.elapsed());
  }

  const LoadCaller &m_Caller;
  const std::uint64_t m_Seed;
  CallResult &m_Result;
  EventStreamParser m_Parser;
  std::uint32_t m_NextPosition = 0;
  bool m_HasEnded = false;
};

microseconds LoadCaller::elapsed() const {
  return std::chrono::duration_cast<microseconds>(Clock::now() - m_Start);
}

LoadCaller::Clock::time_point
LoadCaller::deadline(const PlannedCall &Planned) const {
  auto RunLimit =
      std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(
          m_Options.m_DurationSeconds + m_Options.m_GraceSeconds));
  return m_Start +
         std::min(RunLimit,
                  Planned.m_DueAt + microseconds(m_Options.m_CallTimeout));
}

CallResult LoadCaller::call(const PlannedCall &Planned) const {
  CallResult Result;
  Result.m_DueAt = Planned.m_DueAt;
  Result.m_IsService = Planned.m_IsService;
  for (std::size_t RouterAttempt = 0;
       RouterAttempt < m_Options.m_Routers.size(); ++RouterAttempt) {
    std::size_t Router =
        (Planned.m_Router + RouterAttempt) % m_Options.m_Routers.size();
    Result.m_Outcome = "lost";
    bool HasEnded = Planned.m_IsService
                        ? callService(Planned, Router, Result)
                        : callCompletion(Planned, Router, Result);
    if (HasEnded)
      break;
    if (Clock::now() >= deadline(Planned)) {
      Result.m_Outcome = "unfinished";
      break;
    }
    ++Result.m_Reconnects;
  }
  Result.m_EndedAt = elapsed();
  return Result;
}

static httplib::Request postRequest(const std::string &Path,
                                    const std::string &Key, std::string Body) {
  httplib::Request Request;
  Request.method = "POST";
  Request.path = Path;
  Request.set_header("Content-Type", "application/json");
  Request.set_header("Authorization", "Bearer " + Key);
  Request.body = std::move(Body);
  return Request;
}

static std::string statusOutcome(const httplib::Response &Response) {
  return std::to_string(Response.status) + " " +
         Response.get_header_value("X-Outcome");
}

bool LoadCaller::callCompletion(const PlannedCall &Planned, std::size_t Router,
                                CallResult &Result) const {
  EndpointConnection Connection(
      *parseSocketAddress(m_Options.m_Routers[Router]), ConnectTimeout);
  Connection.setDeadline(deadline(Planned));
  httplib::Request Request = postRequest(
      "/v1/completions", m_Options.m_Accounts[Planned.m_Account].m_Key,
      Json{{"model", m_Options.m_Model},
           {"prompt", Planned.m_Prompt},
           {"max_tokens", Planned.m_Tokens},
           {"stream", true}}
          .dump());
  CompletionReader Reader(*this, Planned, Result);
  int Status = 0;
  Request.response_handler = [&Status](const httplib::Response &Begun) {
    Status = Begun.status;
    return true;
  };
  Request.content_receiver = [&](const char *Data, size_t Size, std::uint64_t,
                                 std::uint64_t) {
    if (Status == StatusOk)
      Reader.receive({Data, Size});
    return true;
  };
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  bool IsComplete = Connection.call(Request, Response, Error);
  if (IsComplete && Status != StatusOk)
    Result.m_Outcome = statusOutcome(Response);
  return Reader.hasEnded() || (IsComplete && Status != StatusOk);
}

bool LoadCaller::callService(const PlannedCall &Planned, std::size_t Router,
                             CallResult &Result) const {
  EndpointConnection Connection(
      *parseSocketAddress(m_Options.m_Routers[Router]), ConnectTimeout);
  Connection.setDeadline(deadline(Planned));
  httplib::Request Request =
      postRequest(m_Options.m_ServicePath,
                  m_Options.m_Accounts[Planned.m_Account].m_Key, "{}");
  if (m_Options.m_UsesIdempotencyKeys)
    Request.set_header("Idempotency-Key",
                       "load-" + std::to_string(m_Options.m_Seed) + "-" +
                           std::to_string(Planned.m_Number));
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  bool IsComplete = Connection.call(Request, Response, Error);
  if (IsComplete)
    Result.m_Outcome = Response.status == StatusOk
                           ? Response.get_header_value("X-Outcome")
                           : statusOutcome(Response);
  // A service call is sent again only if no byte of it was sent, since it may
  // not be idempotent.
  bool IsTimedOut = Clock::now() >= deadline(Planned);
  return IsComplete || (Connection.bytesSent() > 0 && !IsTimedOut);
}

} // namespace parsleyring
