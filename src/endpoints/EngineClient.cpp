#include "endpoints/EngineClient.h"

#include "endpoints/EventStreamParser.h"
#include "endpoints/HttpFailure.h"

namespace parsleyring {

/// Fallback: the Router cancels stalled streams much earlier; this limit ends
/// a stream that the Router fails to cancel.
static constexpr std::chrono::minutes StreamTimeout(30);
static constexpr std::size_t MaxErrorBytes = 64 * 1024;

/// Receives and checks the answer of the engine.
class EngineClient::AnswerReader {
public:
  explicit AnswerReader(const TokenCallback &OnToken)
      : m_OnToken(OnToken), m_Parser([this](const std::string &Data) {
          return receiveEvent(Data);
        }) {}

  void setStatus(int Status) { m_Status = Status; }

  /// Returns false to stop the transfer.
  bool receive(std::string_view Bytes) {
    if (m_Status != 200) {
      m_ErrorBody += Bytes.substr(0, MaxErrorBytes - m_ErrorBody.size());
      return m_ErrorBody.size() < MaxErrorBytes;
    }
    if (m_Parser.feed(Bytes) == EventStreamParser::Status::TooLong)
      fail(AttemptResult::Malformed, "an event of the engine is too long");
    return !m_HasResult;
  }

  AttemptReport report(const EndpointConnection &Connection,
                       httplib::Error Error) {
    if (m_HasResult)
      return m_Report;
    if (m_Status != 0 && m_Status != 200)
      return errorStatusReport(Connection);
    AttemptReport Failure = failureReport(Connection, Error);
    // The HTTP body is complete, but the event "[DONE]" is missing.
    if (Error == httplib::Error::Success)
      Failure.m_Detail = "the stream ended without its end mark";
    Failure.m_Status = m_Status;
    return Failure;
  }

private:
  bool receiveEvent(const std::string &Data) {
    try {
      handleEvent(parseEngineEvent(Data));
    } catch (const MessageError &Error) {
      fail(AttemptResult::Malformed, Error.what());
    }
    return !m_HasResult;
  }

  void handleEvent(EngineEvent Received) {
    if (Received.m_Error) {
      m_Report.m_FailedEndpoint = Received.m_Error->m_Endpoint;
      return fail(AttemptResult::ConnectionLost,
                  "the engine broke off: " + Received.m_Error->m_Code + " " +
                      Received.m_Error->m_Endpoint);
    }
    if (Received.m_IsDoneEvent)
      return finish();
    if (!m_Report.m_FinishReason.empty())
      return fail(AttemptResult::Malformed, "a token after the finish reason");
    m_Report.m_FinishReason = Received.m_FinishReason;
    if (Received.m_HasToken)
      m_OnToken(Received.m_Position, std::move(Received.m_Hops),
                std::move(Received.m_Text));
  }

  void finish() {
    if (m_Report.m_FinishReason.empty())
      return fail(AttemptResult::Malformed, "the end without finish reason");
    m_HasResult = true;
    m_Report.m_Result = AttemptResult::Finished;
    m_Report.m_Status = m_Status;
  }

  void fail(AttemptResult Result, std::string Detail) {
    m_HasResult = true;
    m_Report.m_Result = Result;
    m_Report.m_Status = m_Status;
    m_Report.m_Detail = std::move(Detail);
    m_Report.m_FinishReason.clear();
  }

  /// For a status other than 200. The request counts as not run only if the
  /// engine says so itself.
  AttemptReport errorStatusReport(const EndpointConnection &Connection) const {
    AttemptReport Result;
    Result.m_Status = m_Status;
    auto Error = parseEndpointError(m_ErrorBody);
    if (Error) {
      Result.m_Detail = Error->m_Code + ": " + Error->m_Message;
      Result.m_FailedEndpoint = Error->m_Endpoint;
    }
    bool IsRefusal = m_Status == 429 || m_Status == 503;
    if (IsRefusal && Error && Error->m_Outcome == "not-run")
      Result.m_Result = refusalResult(*Error);
    else if (Connection.isCancelled())
      Result.m_Result = AttemptResult::Cancelled;
    else if (m_Status >= 400 && m_Status < 500 && !IsRefusal)
      Result.m_Result = AttemptResult::Rejected;
    else
      Result.m_Result = m_Status >= 500 || IsRefusal
                            ? AttemptResult::ConnectionLost
                            : AttemptResult::Malformed;
    return Result;
  }

  static AttemptResult refusalResult(const EndpointError &Error) {
    if (Error.m_Code == "draining")
      return AttemptResult::RefusedLeaving;
    // "unreachable": the first stage could not connect to a later stage.
    return Error.m_Reason == "unreachable" ? AttemptResult::ConnectFailed
                                           : AttemptResult::RefusedNotRun;
  }

  const TokenCallback &m_OnToken;
  EventStreamParser m_Parser;
  int m_Status = 0;
  std::string m_ErrorBody;
  bool m_HasResult = false;
  AttemptReport m_Report;
};

static std::unique_ptr<EndpointConnection>
makeConnection(const std::vector<Stage> &Route) {
  auto Target = Route.empty() ? std::nullopt
                              : parseSocketAddress(Route.front().m_Address);
  if (!Target)
    return nullptr;
  return std::make_unique<EndpointConnection>(*Target, ConnectTimeout);
}

EngineClient::EngineClient(EngineCall Call, TokenCallback OnToken)
    : m_Call(std::move(Call)), m_OnToken(std::move(OnToken)),
      m_Connection(makeConnection(m_Call.m_Route)) {}

EngineClient::~EngineClient() = default;

void EngineClient::cancel() {
  if (m_Connection)
    m_Connection->cancel();
}

AttemptReport EngineClient::run() {
  if (!m_Connection)
    return {
        AttemptResult::ConnectFailed, 0, "the address is not IP:port", {}, {}};
  AnswerReader Reader(m_OnToken);
  httplib::Request Request;
  Request.method = "POST";
  Request.path = "/v1/completions";
  Request.set_header("Content-Type", "application/json");
  Request.set_header("Accept", "text/event-stream");
  Request.set_header("X-Request-Id", m_Call.m_Payload->m_RequestId);
  Request.body = engineCallJson(m_Call);
  Request.response_handler = [&Reader](const httplib::Response &Response) {
    Reader.setStatus(Response.status);
    return true;
  };
  Request.content_receiver = [&Reader](const char *Data, size_t Size,
                                       std::uint64_t, std::uint64_t) {
    return Reader.receive({Data, Size});
  };
  m_Connection->setDeadline(std::chrono::steady_clock::now() + StreamTimeout);
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  m_Connection->call(Request, Response, Error);
  return Reader.report(*m_Connection, Error);
}

} // namespace parsleyring
