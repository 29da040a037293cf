#ifndef PARSLEYRING_REQUESTS_ADMISSIONSYSTEM_H
#define PARSLEYRING_REQUESTS_ADMISSIONSYSTEM_H

#include "requests/ClaimSystem.h"
#include "requests/Dispatcher.h"
#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Checks new requests. Each rejection is a truthful not-run.
class AdmissionSystem {
public:
  AdmissionSystem(RouterState &State, RequestFinisher &Finisher,
                  Dispatcher &Queues, ClaimSystem &Claims)
      : m_State(State), m_Finisher(Finisher), m_Queues(Queues),
        m_Claims(Claims) {}

  void completionArrived(Context &Call, const CompletionArrived &Arrival);
  void serviceCallArrived(Context &Call, const ServiceCallArrived &Arrival);

private:
  /// Who asks for what; enough to reject it.
  struct Applicant {
    RequestNumber m_Number = 0;
    std::string m_Target;
    const ClientAccount *m_Account = nullptr;
  };

  /// Also counts the arrival. False if the number is in use already.
  bool isNewNumber(RequestNumber Number);
  bool findAccount(Context &Call, Applicant &Who, const std::string &KeySha256);
  /// The checks that follow when the account and the target are known.
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
