#ifndef PARSLEYRING_REQUESTS_ADMISSIONSYSTEM_H
#define PARSLEYRING_REQUESTS_ADMISSIONSYSTEM_H

#include "requests/ClaimSystem.h"
#include "requests/Dispatcher.h"
#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Admits or rejects new requests. Nothing is dispatched before admission, so
/// that every rejected request has the outcome not-run.
class AdmissionSystem {
public:
  AdmissionSystem(RouterState &State, RequestFinisher &Finisher,
                  Dispatcher &Queues, ClaimSystem &Claims)
      : m_State(State), m_Finisher(Finisher), m_Queues(Queues),
        m_Claims(Claims) {}

  void completionArrived(Context &Call, const CompletionArrived &Arrival);
  void serviceCallArrived(Context &Call, const ServiceCallArrived &Arrival);

private:
  /// What is known of a request before admission; enough to reject it.
  struct Applicant {
    RequestNumber m_Number = 0;
    std::string m_Target;
    const ClientAccount *m_Account = nullptr;
  };

  /// Returns false if the number belongs to a request in progress. Also counts
  /// the arrival.
  bool isNewNumber(RequestNumber Number);
  /// Sets the account of Who. Rejects the request and returns false if there is
  /// no configuration or the key is unknown.
  bool findAccount(Context &Call, Applicant &Who, const std::string &KeySha256);
  /// Checks account limits, estimated queue wait and drain state. Rejects the
  /// request and returns false if one of them forbids it.
  bool passesLimits(Context &Call, const Applicant &Who, PoolState &Pool);
  void admit(Context &Call, const Applicant &Who, const PoolState &Pool,
             Request &&Subject);
  void reject(Context &Call, const Applicant &Who, int Status,
              const std::string &Code, const std::string &Message,
              std::uint32_t RetryAfterSeconds = 0);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  Dispatcher &m_Queues;
  ClaimSystem &m_Claims;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ADMISSIONSYSTEM_H
