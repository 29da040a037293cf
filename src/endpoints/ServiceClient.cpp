#include "endpoints/ServiceClient.h"

#include "endpoints/HttpFailure.h"

#include <strings.h>

#include <algorithm>

namespace parsleyring {

static constexpr std::size_t MaxAnswerBytes = 16 << 20;

static bool isHopByHop(const std::string &Name) {
  // X-Outcome and X-Request-Id are set by the router itself.
  static const std::vector<const char *> Names{
      "Connection",        "Keep-Alive", "Proxy-Authenticate",
      "Transfer-Encoding", "Trailer",    "Upgrade",
      "Content-Length",    "X-Outcome",  "X-Request-Id"};
  return std::any_of(Names.begin(), Names.end(), [&Name](const char *Entry) {
    return ::strcasecmp(Name.c_str(), Entry) == 0;
  });
}

/// False if the body ends with the connection: then a complete body cannot be
/// told from one cut off by a connection failure.
static bool hasDelimitedBody(const httplib::Request &Request,
                             const httplib::Response &Response) {
  return Request.method == "HEAD" || Response.status == 204 ||
         Response.status == 304 || Response.has_header("Content-Length") ||
         ::strcasecmp(Response.get_header_value("Transfer-Encoding").c_str(),
                      "chunked") == 0;
}

static httplib::Request makeRequest(const CallerPayload &Payload) {
  const auto &Service = std::get<ServicePayload>(Payload.m_Content);
  httplib::Request Request;
  Request.method = Service.m_Method;
  Request.path = Service.m_Target;
  Request.body = Service.m_Body;
  if (!Service.m_ContentType.empty())
    Request.set_header("Content-Type", Service.m_ContentType);
  if (!Service.m_IdempotencyKey.empty())
    Request.set_header("Idempotency-Key", Service.m_IdempotencyKey);
  Request.set_header("X-Request-Id", Payload.m_RequestId);
  Request.set_header("Accept-Encoding", "identity");
  return Request;
}

static AttemptReport completeAnswerReport(const httplib::Response &Response,
                                          std::string Body) {
  AttemptReport Report;
  Report.m_Status = Response.status;
  bool IsNotRun = Response.get_header_value("X-Outcome") == "not-run";
  if (IsNotRun && (Response.status == 503 || Response.status == 429)) {
    Report.m_Result = Response.status == 503 ? AttemptResult::RefusedLeaving
                                             : AttemptResult::RefusedNotRun;
    Report.m_Detail = "the service states that it did not run the call";
    return Report;
  }
  Report.m_Result = AttemptResult::Finished;
  ServiceAnswer Answer;
  Answer.m_Status = Response.status;
  for (const auto &[Name, Value] : Response.headers)
    if (!isHopByHop(Name))
      Answer.m_Headers.emplace_back(Name, Value);
  Answer.m_Body = std::move(Body);
  Report.m_Answer = std::move(Answer);
  return Report;
}

static std::unique_ptr<EndpointConnection>
makeConnection(const std::string &Text) {
  auto Target = parseSocketAddress(Text);
  if (!Target)
    return nullptr;
  return std::make_unique<EndpointConnection>(*Target, ConnectTimeout);
}

ServiceClient::ServiceClient(ServiceCall Call)
    : m_Call(std::move(Call)), m_Connection(makeConnection(m_Call.m_Address)) {}

ServiceClient::~ServiceClient() = default;

void ServiceClient::cancel() {
  if (m_Connection)
    m_Connection->cancel();
}

AttemptReport ServiceClient::run() {
  if (!m_Connection)
    return {
        AttemptResult::ConnectFailed, 0, "the address is not IP:port", {}, {}};
  httplib::Request Request = makeRequest(*m_Call.m_Payload);
  std::string Body;
  bool IsTooLong = false;
  Request.content_receiver = [&](const char *Data, size_t Size, std::uint64_t,
                                 std::uint64_t) {
    IsTooLong = Body.size() + Size > MaxAnswerBytes;
    if (!IsTooLong)
      Body.append(Data, Size);
    return !IsTooLong;
  };
  m_Connection->setDeadline(std::chrono::steady_clock::now() +
                            m_Call.m_Timeout);
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  bool IsComplete = m_Connection->call(Request, Response, Error);
  if (IsTooLong)
    return {AttemptResult::Malformed,
            Response.status,
            "the answer is longer than 16 MiB",
            {},
            {}};
  if (!IsComplete)
    return failureReport(*m_Connection, Error);
  if (!hasDelimitedBody(Request, Response))
    return {AttemptResult::ConnectionLost,
            Response.status,
            "the answer has neither a length nor chunks",
            {},
            {}};
  return completeAnswerReport(Response, std::move(Body));
}

} // namespace parsleyring
