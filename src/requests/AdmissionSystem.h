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
                  Dispatcher &RequestDispatcher, ClaimSystem &Claims)
      : m_State(State), m_Finisher(Finisher), m_Dispatcher(RequestDispatcher),
        m_Claims(Claims) {}

  void completionArrived(EventContext &Context,
                         const CompletionArrived &Arrival);
  void serviceCallArrived(EventContext &Context,
                          const ServiceCallArrived &Arrival);

private:
  /// What is known of a request before admission; enough to reject it.
  struct IncomingRequest {
    RequestNumber m_Number = 0;
    std::string m_Target;
    const ClientAccount *m_Account = nullptr;
  };

  /// Returns false if the number belongs to a request in progress. Also counts
  /// the arrival.
  bool registerArrival(RequestNumber Number);
  /// Sets the account of Incoming. Rejects the request and returns false if
  /// there is no configuration or the key is unknown.
  bool resolveAccount(EventContext &Context, IncomingRequest &Incoming,
                      const std::string &KeySha256);
  /// Checks account limits, estimated queue wait and drain state. Rejects the
  /// request and returns false if one of them forbids it.
  bool checkLimits(EventContext &Context, const IncomingRequest &Incoming,
                   PoolState &Pool);
  void admit(EventContext &Context, const IncomingRequest &Incoming,
             const PoolState &Pool, Request &&Req);
  void reject(EventContext &Context, const IncomingRequest &Incoming,
              int Status, const std::string &Code, const std::string &Message,
              std::uint32_t RetryAfterSeconds = 0);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  Dispatcher &m_Dispatcher;
  ClaimSystem &m_Claims;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ADMISSIONSYSTEM_H
