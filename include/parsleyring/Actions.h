#ifndef PARSLEYRING_ACTIONS_H
#define PARSLEYRING_ACTIONS_H

#include "parsleyring/Types.h"

#include <string>
#include <variant>
#include <vector>

namespace parsleyring {

// Outputs of Router::handle(). The caller of the Router executes them in the
// order given.

/// Open a stream to the first stage of the route.
struct StartCompletion {
  RequestNumber m_Request = 0;
  AttemptNumber m_Attempt = 0;
  std::uint32_t m_Epoch = 0;
  std::vector<Stage> m_Route;
  /// Position of the first token to generate: the number of tokens delivered so
  /// far.
  std::uint32_t m_StartPosition = 0;
};

/// Send a service call to an endpoint.
struct StartServiceCall {
  RequestNumber m_Request = 0;
  AttemptNumber m_Attempt = 0;
  std::string m_Endpoint;
  std::string m_Address;
  /// Set for non-idempotent and for repeated calls: a pooled connection may be
  /// silently dead, which would leave the outcome unknown.
  bool m_UseFreshConnection = false;
  Duration m_Timeout{};
};

/// Close the connection of an attempt. AttemptEnded still follows.
struct CancelAttempt {
  AttemptNumber m_Attempt = 0;
};

/// Append the token of the TokenArrived event being handled to the answer.
struct DeliverToken {
  RequestNumber m_Request = 0;
  std::uint32_t m_Position = 0;
};

/// Send the answer of the service attempt that just ended to the caller.
struct DeliverServiceAnswer {
  RequestNumber m_Request = 0;
  AttemptNumber m_Attempt = 0;
};

/// End the request. Only audit records and the release of a claim that was
/// granted too late may follow for the request.
struct FinishRequest {
  RequestNumber m_Request = 0;
  Outcome m_Outcome = Outcome::Completed;
  int m_Status = 200; ///< HTTP status.
  std::string m_Code; ///< Machine-readable reason; empty on success.
  std::string m_Message;
  std::uint32_t m_RetryAfterSeconds = 0; ///< 0: no Retry-After header.
};

/// Claim the right to run a non-idempotent call with an idempotency key.
/// ClaimSettled follows, no later than the deadline.
struct RequestClaim {
  RequestNumber m_Request = 0;
  std::string m_Account;
  std::string m_IdempotencyKey;
  std::string m_BodySha256;
  Time m_Deadline;
};

enum class ClaimFinalState {
  Released, ///< The call provably did not run.
  Completed ///< The call ran.
};

/// Record the end of a granted claim.
struct EndClaim {
  RequestNumber m_Request = 0;
  ClaimFinalState m_End = ClaimFinalState::Completed;
  int m_Status = 0; ///< HTTP status of the service's answer; 0: none.
};

/// Tell the peers at once that an endpoint is leaving.
struct AnnounceLeaving {
  std::string m_Endpoint;
  std::string m_Incarnation;
};

enum class AuditKind {
  Admission,
  Route,
  AttemptEnd,
  Retry,
  Claim,
  Outcome,
  Configuration,
  Membership,
  Endpoint,
  CoreEvent, ///< Not named Event: GCC would warn that it shadows that alias.
};

std::string_view name(AuditKind Value);
std::optional<AuditKind> auditKindFromName(std::string_view Name);

/// One audit record. The writer adds sequence number, VM and incarnation.
struct WriteAudit {
  AuditKind m_Kind = AuditKind::Admission;
  Time m_At;
  RequestNumber m_Request = 0; ///< 0: not about a single request.
  std::string m_FieldsJson;    ///< A JSON object.
};

using Action =
    std::variant<StartCompletion, StartServiceCall, CancelAttempt, DeliverToken,
                 DeliverServiceAnswer, FinishRequest, RequestClaim, EndClaim,
                 AnnounceLeaving, WriteAudit>;

} // namespace parsleyring

#endif // PARSLEYRING_ACTIONS_H
