#ifndef PARSLEYRING_GATEWAY_FORWARDCONTEXT_H
#define PARSLEYRING_GATEWAY_FORWARDCONTEXT_H

#include "admission/AdmissionQueue.h"
#include "admission/LimitedCapacity.h"
#include "admission/LinkRoom.h"
#include "admission/ReturnSchedule.h"
#include "fleet/FleetTable.h"
#include "fleet/RouteTable.h"
#include "gateway/CallerConnection.h"
#include "gateway/ConnectionPool.h"
#include "gateway/DecisionLog.h"
#include "gateway/EndpointProtocol.h"
#include "gateway/HttpClient.h"
#include "gateway/LeavingRecorder.h"
#include "gateway/NodeMetrics.h"
#include "retries/RetryShare.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleyring {

class CrashGuard;

/// The parts of the gateway node that forwarded requests use.
class ForwardContext {
public:
  using ReportHandler =
      std::function<void(const std::optional<EngineReport> &)>;

  virtual ~ForwardContext() = default;
  virtual Time now() const = 0;
  virtual ConnectionPool &connectionPool() = 0;
  virtual FleetTable &fleet() = 0;
  virtual const EndpointProtocol &protocol() const = 0;
  virtual RetryShare &retryShare(const std::string &Service) = 0;
  virtual AdmissionQueue &admissionQueue(const std::string &Service) = 0;
  virtual ReturnSchedule &returnSchedule(const std::string &Service) = 0;
  virtual CrashGuard &crashGuard() = 0;
  virtual LeavingRecorder &leavingRecorder() = 0;
  virtual MemoryBudget &memoryBudget() = 0;
  virtual DecisionLog &log() = 0;
  virtual NodeMetrics &metrics() = 0;
  virtual const std::string &failureDomain() const = 0;
  /// Number by which a load known to this VM is multiplied, to account for VMs
  /// of the failure domain that sent no recent digest; at least 1.
  virtual double loadFactor() const = 0;
  /// The VMs among which the limits of endpoints are divided.
  virtual LimitUsers limitUsers() const = 0;
  virtual LinkRoom &linkRoom(const std::string &Service) = 0;
  /// The VMs among which Link is divided, for the requests of Service.
  virtual LinkUsers linkUsers(const DomainLink &Link,
                              const std::string &Service) const = 0;
  virtual double random() = 0;
  /// Requests an engine's report; OnReport gets nullopt if there is none.
  virtual void requestReport(const FleetTable::Handle &Endpoint,
                             ReportHandler OnReport) = 0;
  /// Requests an engine's report unless its pace is known.
  virtual void checkPace(const FleetTable::Handle &Endpoint) = 0;
  virtual void callEndpoint(const FleetTable::Handle &Endpoint,
                            const EndpointCall &Call,
                            HttpClient::Handler OnReply) = 0;
  /// Marks an endpoint as unresponsive: it gets no new requests for
  /// Period, and requests in progress are notified, so that streams can move.
  virtual void suspect(const FleetTable::Handle &Endpoint,
                       std::string_view Reason, Duration Period) = 0;
};

/// A caller's request that has been checked and matched to a route.
struct ForwardJob {
  CallerRequest m_Request;
  std::shared_ptr<CallerConnection> m_Caller;
  std::shared_ptr<const RouteTable> m_Table;
  std::shared_ptr<const RouteRule> m_Route;
  const ServiceRule *m_Service = nullptr; ///< Owned by the table.
  std::string m_Account;
  int m_Priority = 0; ///< 0 is the most urgent.
  std::string m_Id;
  /// The caller's deadline or the route's timeout, whichever is earlier.
  Time m_Deadline{};
};

/// How a request ended, for logs and metrics.
enum class ForwardOutcome { Completed, Refused, Failed, Broken, CallerLeft };
std::string_view name(ForwardOutcome Value);

/// Why a request ended that only endpoints at rest could have got.
inline constexpr std::string_view EndpointRestReason = "endpoint-rest";

/// Why a request ended that only links between failure domains without credit
/// kept from being sent.
inline constexpr std::string_view LinkLimitReason = "link-limit";

/// A caller's request while it is being forwarded.
class ForwardedRequest {
public:
  ForwardedRequest(ForwardContext &Context, ForwardJob Job)
      : m_Context(Context), m_Job(std::move(Job)) {}
  virtual ~ForwardedRequest() = default;

  virtual void start() = 0;
  virtual void tick(Time Now) = 0;
  /// An endpoint was marked as suspect; a stream may have to leave it.
  virtual void handleSuspect(const FleetTable::Handle &) {}
  /// Ends the request with a failure, or as refused if it has not run.
  virtual void end(std::string_view Reason) = 0;
  bool isDone() const { return m_IsDone; }

protected:
  /// A connection to Endpoint that has not carried this request yet. An
  /// endpoint may send a second copy of its answer, late; on such a connection
  /// the id in it tells it from the answer to this sending.
  std::shared_ptr<HttpConnection> connectionTo(const FleetEndpoint &Endpoint,
                                               Duration MaxIdle);
  /// Keeps the connection of an answer for other requests, unless the answer
  /// names no request: a late copy of it could be taken for one to the next.
  void keepConnection(const std::shared_ptr<HttpConnection> &Connection,
                      const ResponseHead &Head);
  /// Logs that Endpoint sent the copy of an answer to another request.
  void logForeignAnswer(const FleetTable::Handle &Endpoint,
                        const std::string &OtherId);
  /// Logs what is wrong with the answer of Endpoint on this connection.
  void logMalformedAnswer(const FleetTable::Handle &Endpoint,
                          const HttpConnection &Connection);
  /// Logs why the answer that began with Head has ended before it was complete.
  void logIncompleteAnswer(const FleetTable::Handle &Endpoint,
                           const HttpConnection &Connection,
                           const ResponseHead &Head);
  /// True if the exchange was cut after Head, which proves that the request has
  /// not run. Nothing of its body is passed on, so none of it is needed.
  bool isCutRefusal(const ResponseHead &Head, ExchangeEnd End) const;
  /// The body of the request, which keeps Self, this object, until it is sent.
  std::shared_ptr<const std::string>
  sharedBody(const std::shared_ptr<ForwardedRequest> &Self) const {
    return {Self, &m_Job.m_Request.m_Body};
  }
  /// Answers 503: the request has not run and may be sent again after a delay.
  void answerNotRun(double RetryAfterSeconds);
  /// Records what an answer of Endpoint states about the endpoint itself.
  void noteStatements(const FleetTable::Handle &Endpoint,
                      const ResponseHead &Head, Time SentAt);
  /// True if the limit that Endpoint states allows to send the request there.
  bool isWithinLimit(FleetEndpoint &Endpoint) const {
    return Endpoint.isWithinLimit(m_Context.limitUsers(), m_Context.random(),
                                  m_Context.now());
  }
  /// True if the service has endpoints that could serve it, and all of them are
  /// leaving: the request will not be sent before there are others.
  bool areAllLeaving() const;
  /// Answers 503 to a request that only limits of endpoints keep from being
  /// sent.
  void answerLimited(const LimitedCapacity &Capacity);
  /// Answers 503 to a request that endpoints which rest until RestEnd keep from
  /// being sent.
  void answerResting(Time RestEnd);
  /// Answers with a status that leaves open whether the request has run.
  void answerFailed(unsigned Status);
  /// By which the crash guard knows the request and its repetitions.
  const std::string &requestSuspect();
  /// When the quarantine of the request ends; empty if there is none.
  std::optional<Time> requestQuarantinedUntil();
  /// Tells the crash guard that an endpoint has answered the request and still
  /// runs.
  void noteRequestAnswered();
  /// Counts and logs the end of the request; Details are added to the line.
  void recordEnd(ForwardOutcome Outcome, std::string_view Reason,
                 unsigned Status,
                 std::initializer_list<DecisionLog::Field> Details);

  static constexpr std::string_view AllLeavingReason = "endpoints-leaving";

  ForwardContext &m_Context;
  ForwardJob m_Job;
  bool m_IsDone = false;
  std::string m_RequestSuspect; ///< Empty until it is needed.

private:
  void noteLimit(const FleetTable::Handle &Endpoint, const ResponseHead &Head,
                 Time SentAt, bool IsSealed);

  ConnectionPool::ConnectionList m_UsedConnections; ///< Over all sendings.
};

/// Serializes the head of a request for an endpoint; Extra are further header
/// fields.
std::string serializeHead(const ForwardJob &Job,
                          const EndpointProtocol &Protocol,
                          const EndpointEntry &Target, Time Now,
                          const AnswerFields &Extra);
/// The header fields of an endpoint's answer that the caller gets.
AnswerFields endToEndFields(const ResponseHead &Head);
/// Records the rest that a 503 of Endpoint states, if any. RequestId is empty
/// for a call of this VM's own.
void noteRest(ForwardContext &Context, const FleetTable::Handle &Endpoint,
              const ResponseHead &Head, const std::string &RequestId,
              Time SentAt);
/// True if the endpoint states that the request has not run and will not.
bool provesNotRun(const ResponseHead &Head, const HeaderNames &Names,
                  const std::string &RequestId);
/// True if a caller takes the status to mean that the request has not run.
bool statesNotRun(unsigned Status);
/// True if the response names another request: it is the copy of an earlier
/// answer on the same connection.
bool belongsToOther(const ResponseHead &Head, const HeaderNames &Names,
                    const std::string &RequestId);

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_FORWARDCONTEXT_H
