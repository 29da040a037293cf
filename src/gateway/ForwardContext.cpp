#include "gateway/ForwardContext.h"

#include "core/NameTable.h"
#include "gateway/CrashGuard.h"
#include "gateway/RequestFingerprint.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyring {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Larger bodies are hashed only while there are requests that may have crashed
// endpoints, since that holds up the event loop.
static constexpr std::size_t MaxEagerHashBytes = 64 << 10;

static constexpr NameTable<ForwardOutcome, 5> ForwardOutcomeNames{
    {"completed", "refused", "failed", "broken", "caller-left"}};

std::string_view name(ForwardOutcome Value) {
  return ForwardOutcomeNames.name(Value);
}

static std::string_view view(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

// Hop-by-hop fields, and those that the gateway sets or handles itself.
static bool isHopByHopField(http::field Field) {
  switch (Field) {
  case http::field::connection:
  case http::field::keep_alive:
  case http::field::proxy_connection:
  case http::field::proxy_authenticate:
  case http::field::proxy_authorization:
  case http::field::te:
  case http::field::trailer:
  case http::field::transfer_encoding:
  case http::field::upgrade:
  case http::field::content_length:
  case http::field::expect:
    return true;
  default:
    return false;
  }
}

static bool isListedInConnection(const http::fields &Fields,
                                 beast::string_view Name) {
  auto Connection = Fields[http::field::connection];
  return !Connection.empty() && http::token_list{Connection}.exists(Name);
}

static void appendField(std::string &Text, std::string_view Name,
                        std::string_view Value) {
  Text.append(Name);
  Text += ": ";
  Text.append(Value);
  Text += "\r\n";
}

std::string serializeHead(const ForwardJob &Job,
                          const EndpointProtocol &Protocol,
                          const EndpointEntry &Target, Time Now,
                          const AnswerFields &Extra) {
  const HeaderNames &Names = Protocol.headers();
  const CallerRequest &Request = Job.m_Request;
  auto IsReplaced = [&](beast::string_view Name) {
    if (beast::iequals(Name, Names.m_Deadline) ||
        beast::iequals(Name, Names.m_Account) ||
        beast::iequals(Name, Names.m_ExpectedEndpoint) ||
        beast::iequals(Name, Names.m_Path))
      return true;
    for (const auto &[ExtraName, Value] : Extra)
      if (beast::iequals(Name, ExtraName))
        return true;
    return false;
  };
  std::string Text =
      Request.m_Method + " " + Request.m_Target + " HTTP/1.1\r\n";
  for (const auto &Field : Request.m_Fields) {
    if (isHopByHopField(Field.name()) ||
        Field.name() == http::field::authorization ||
        isListedInConnection(Request.m_Fields, Field.name_string()) ||
        IsReplaced(Field.name_string()))
      continue;
    appendField(Text, view(Field.name_string()), view(Field.value()));
  }
  auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Job.m_Deadline - Now);
  appendField(Text, Names.m_Deadline,
              std::to_string(std::max<std::int64_t>(1, Remaining.count())));
  appendField(Text, Names.m_ExpectedEndpoint, Target.m_Id);
  if (!Job.m_Account.empty())
    appendField(Text, Names.m_Account, Job.m_Account);
  for (const auto &[Name, Value] : Extra)
    appendField(Text, Name, Value);
  if (!Request.m_Body.empty() || Request.m_Method == "POST" ||
      Request.m_Method == "PUT" || Request.m_Method == "PATCH")
    appendField(Text, "Content-Length", std::to_string(Request.m_Body.size()));
  return Text + "\r\n";
}

AnswerFields endToEndFields(const ResponseHead &Head) {
  AnswerFields Fields;
  for (const auto &Field : Head.m_Fields) {
    if (isHopByHopField(Field.name()) ||
        isListedInConnection(Head.m_Fields, Field.name_string()))
      continue;
    Fields.emplace_back(std::string(view(Field.name_string())),
                        std::string(view(Field.value())));
  }
  return Fields;
}

bool statesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool belongsToOther(const ResponseHead &Head, const HeaderNames &Names,
                    const std::string &RequestId) {
  std::string Echo = Head.field(Names.m_RequestId);
  return !Echo.empty() && Echo != RequestId;
}

bool provesNotRun(const ResponseHead &Head, const HeaderNames &Names,
                  const std::string &RequestId) {
  return !belongsToOther(Head, Names, RequestId) &&
         (Head.m_Status == 421 ||
          (Head.has(Names.m_NotExecuted) && Head.m_Status >= 400));
}

std::shared_ptr<HttpConnection>
ForwardedRequest::connectionTo(const FleetEndpoint &Endpoint,
                               Duration MaxIdle) {
  std::shared_ptr<HttpConnection> Connection =
      m_Context.connectionPool().acquire(Endpoint.m_Entry.m_Address, MaxIdle,
                                         m_Context.now(), m_UsedConnections);
  m_UsedConnections.push_back(Connection);
  return Connection;
}

void ForwardedRequest::keepConnection(
    const std::shared_ptr<HttpConnection> &Connection,
    const ResponseHead &Head) {
  if (Head.field(m_Context.protocol().headers().m_RequestId).empty())
    Connection->close();
  else
    m_Context.connectionPool().release(Connection, m_Context.now());
}

void ForwardedRequest::logForeignAnswer(const FleetTable::Handle &Endpoint,
                                        const std::string &OtherId) {
  m_Context.metrics().countAttempt("foreign-answer");
  m_Context.log().write(
      m_Context.now(), "foreign-answer", m_Job.m_Id,
      {{"endpoint", Endpoint->m_Entry.m_Id}, {"other_request", OtherId}});
}

void ForwardedRequest::logMalformedAnswer(const FleetTable::Handle &Endpoint,
                                          const HttpConnection &Connection) {
  m_Context.log().write(m_Context.now(), "answer-malformed", m_Job.m_Id,
                        {{"endpoint", Endpoint->m_Entry.m_Id},
                         {"finding", Connection.finding()}});
}

void ForwardedRequest::logIncompleteAnswer(const FleetTable::Handle &Endpoint,
                                           const HttpConnection &Connection,
                                           const ResponseHead &Head) {
  m_Context.log().write(
      m_Context.now(), "answer-incomplete", m_Job.m_Id,
      {{"endpoint", Endpoint->m_Entry.m_Id},
       {"finding", Connection.finding()},
       {"status", std::int64_t(Head.m_Status)},
       {"written_bytes", std::int64_t(Connection.writtenBytes())},
       {"request_bytes", std::int64_t(Connection.requestBytes())}});
}

bool ForwardedRequest::isCutRefusal(const ResponseHead &Head,
                                    ExchangeEnd End) const {
  return End == ExchangeEnd::Closed &&
         provesNotRun(Head, m_Context.protocol().headers(), m_Job.m_Id);
}

bool ForwardedRequest::areAllLeaving() const {
  bool HasLeaving = false;
  for (const FleetTable::Handle &Endpoint :
       m_Context.fleet().endpointsOfService(m_Job.m_Service->m_Name)) {
    const LayerRange &Layers = Endpoint->m_Entry.m_Layers;
    // An engine without layers serves nothing before it has loaded some.
    if (m_Job.m_Service->isLayered() && Layers.m_End <= Layers.m_First)
      continue;
    if (!Endpoint->isLeaving())
      return false;
    HasLeaving = true;
  }
  return HasLeaving;
}

// An answer with 421 comes from another endpoint, which uses the address now.
// One that names another request is a copy: the endpoint may have sent it long
// ago, and its limit and rest were recorded with the first copy.
void ForwardedRequest::noteStatements(const FleetTable::Handle &Endpoint,
                                      const ResponseHead &Head, Time SentAt) {
  m_Context.leavingRecorder().noteAnswer(*Endpoint, Head, m_Job.m_Id);
  const HeaderNames &Names = m_Context.protocol().headers();
  bool IsRejection = provesNotRun(Head, Names, m_Job.m_Id);
  bool IsSealed =
      Head.has(Names.m_Seal) && Head.field(Names.m_RequestId) == m_Job.m_Id;
  if (Head.m_Status == 421 || (!IsRejection && !IsSealed))
    return;
  noteLimit(Endpoint, Head, SentAt, IsSealed);
  if (Head.m_Status == 503)
    noteRest(m_Context, Endpoint, Head, m_Job.m_Id, SentAt);
  else if (!IsRejection)
    Endpoint->m_Rest.noteAccepted(SentAt, m_Context.now());
}

// The longest time that the answer states: if the field is there twice, that
// one covers both.
static std::optional<Duration> statedRest(ForwardContext &Context,
                                          const FleetEndpoint &Endpoint,
                                          const ResponseHead &Head,
                                          const std::string &RequestId) {
  Time Now = Context.now();
  Time AnsweredAt =
      EndpointRest::parseDate(view(Head.m_Fields[http::field::date]))
          .value_or(Now);
  std::optional<Duration> Longest;
  auto Fields =
      Head.m_Fields.equal_range(Context.protocol().headers().m_RetryAfter);
  for (auto Field = Fields.first; Field != Fields.second; ++Field) {
    std::string_view Text = view(Field->value());
    std::optional<Duration> Rest = EndpointRest::parse(Text, AnsweredAt);
    if (!Rest)
      Context.log().write(
          Now, "endpoint-rest-rejected", RequestId,
          {{"endpoint", Endpoint.m_Entry.m_Id}, {"value", Text.substr(0, 40)}});
    else
      Longest = std::max(Longest.value_or(Duration::zero()), *Rest);
  }
  return Longest;
}

// Another engine of the path may have passed the rejection on. One that is not
// listed, or was listed only after the request was sent, is not affected.
void noteRest(ForwardContext &Context, const FleetTable::Handle &Endpoint,
              const ResponseHead &Head, const std::string &RequestId,
              Time SentAt) {
  std::string Address =
      Head.field(Context.protocol().headers().m_FaultyEndpoint);
  FleetTable::Handle Resting = Endpoint;
  if (!Address.empty() && Address != Endpoint->m_Entry.m_Address)
    Resting = Context.fleet().findByAddress(Address);
  if (!Resting || Resting->m_ListedAt > SentAt)
    return;
  std::optional<Duration> Rest = statedRest(Context, *Resting, Head, RequestId);
  Time Now = Context.now();
  if (!Rest || !Resting->m_Rest.noteStated(*Rest, Now))
    return;
  Context.metrics().countEndpointRest();
  Context.log().write(Now, "endpoint-rest", RequestId,
                      {{"endpoint", Resting->m_Entry.m_Id},
                       {"started_ms", Resting->m_Entry.m_StartTimeMs},
                       {"rest_ms", std::int64_t(Rest->count() / 1000)}});
}

void ForwardedRequest::noteLimit(const FleetTable::Handle &Endpoint,
                                 const ResponseHead &Head, Time SentAt,
                                 bool IsSealed) {
  const HeaderNames &Names = m_Context.protocol().headers();
  Time Now = m_Context.now();
  const std::string &Id = Endpoint->m_Entry.m_Id;
  if (!Head.has(Names.m_RateLimit)) {
    if (IsSealed && Endpoint->m_Limit.noteNotStated(SentAt))
      m_Context.log().write(Now, "endpoint-limit-ended", m_Job.m_Id,
                            {{"endpoint", Id}});
    return;
  }
  std::string Text = Head.field(Names.m_RateLimit);
  std::optional<double> Rate = EndpointLimit::parseRate(Text);
  if (!Rate)
    m_Context.log().write(
        Now, "endpoint-limit-rejected", m_Job.m_Id,
        {{"endpoint", Id}, {"value", std::string_view(Text).substr(0, 40)}});
  else if (Endpoint->m_Limit.noteStated(*Rate, Now))
    m_Context.log().write(Now, "endpoint-limit", m_Job.m_Id,
                          {{"endpoint", Id}, {"requests_per_s", *Rate}});
}

const std::string &ForwardedRequest::requestSuspect() {
  if (m_RequestSuspect.empty()) {
    std::string PromptParts;
    if (m_Job.m_Service->isLayered())
      PromptParts =
          m_Job.m_Request.field(m_Context.protocol().headers().m_PromptParts);
    m_RequestSuspect = EndpointCrash::requestSuspect(
        requestFingerprint(m_Job.m_Request, m_Job.m_Account, PromptParts));
  }
  return m_RequestSuspect;
}

std::optional<Time> ForwardedRequest::requestQuarantinedUntil() {
  CrashGuard &Guard = m_Context.crashGuard();
  return Guard.hasQuarantine() ? Guard.quarantinedUntil({requestSuspect()})
                               : std::nullopt;
}

void ForwardedRequest::noteRequestAnswered() {
  CrashGuard &Guard = m_Context.crashGuard();
  bool IsLarge = m_Job.m_Request.m_Body.size() > MaxEagerHashBytes;
  if (!IsLarge || Guard.hasRequestSuspects())
    Guard.noteAnswer({requestSuspect()});
}

void ForwardedRequest::answerLimited(const LimitedCapacity &Capacity) {
  Duration Delay = m_Context.returnSchedule(m_Job.m_Service->m_Name)
                       .next(Capacity.m_Delay, Capacity.m_RequestsPerSecond,
                             m_Context.now());
  answerNotRun(std::chrono::duration<double>(Delay).count());
}

void ForwardedRequest::answerResting(Time RestEnd) {
  Time Now = m_Context.now();
  Duration Delay = m_Context.returnSchedule(m_Job.m_Service->m_Name)
                       .nextAfterRest(RestEnd, Now);
  m_Context.log().write(
      Now, "endpoints-resting", m_Job.m_Id,
      {{"service", m_Job.m_Service->m_Name},
       {"rest_ms", std::int64_t((RestEnd - Now).count() / 1000)},
       {"retry_after_ms", std::int64_t(Delay.count() / 1000)}});
  // Rounded up, since a caller that returns earlier is refused again.
  double Hundredths = std::ceil(static_cast<double>(Delay.count()) / 1e4);
  answerNotRun(Hundredths / 100);
}

void ForwardedRequest::answerNotRun(double RetryAfterSeconds) {
  const HeaderNames &Names = m_Context.protocol().headers();
  char Seconds[16];
  std::snprintf(Seconds, sizeof(Seconds), "%.2f", RetryAfterSeconds);
  m_Job.m_Caller->answer(
      503, {{Names.m_RequestId, m_Job.m_Id}, {Names.m_RetryAfter, Seconds}},
      "");
}

void ForwardedRequest::answerFailed(unsigned Status) {
  const HeaderNames &Names = m_Context.protocol().headers();
  m_Job.m_Caller->answer(Status, {{Names.m_RequestId, m_Job.m_Id}}, "");
}

void ForwardedRequest::recordEnd(
    ForwardOutcome Outcome, std::string_view Reason, unsigned Status,
    std::initializer_list<DecisionLog::Field> Details) {
  Time Now = m_Context.now();
  Duration Taken = Now - m_Job.m_Request.m_ReceivedAt;
  m_Context.metrics().countRequest(name(Outcome), Reason, Taken);
  m_Context.log().write(
      Now, "request-end", m_Job.m_Id,
      {{"route", m_Job.m_Route->m_Name},
       {"outcome", name(Outcome)},
       {"reason", Reason},
       {"status", std::int64_t(Status)},
       {"configuration", std::int64_t(m_Job.m_Table->m_Version)},
       {"taken_ms", std::int64_t(Taken.count() / 1000)}},
      Details);
}

} // namespace parsleyring
