#ifndef PARSLEYRING_REQUESTS_RETRYSYSTEM_H
#define PARSLEYRING_REQUESTS_RETRYSYSTEM_H

#include "requests/Dispatcher.h"
#include "requests/EndpointSystem.h"
#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Ends the request or schedules a further attempt when an attempt ends or is
/// abandoned.
class RetrySystem {
public:
  RetrySystem(RouterState &State, RequestFinisher &Finisher,
              Dispatcher &RequestDispatcher, EndpointSystem &Endpoints)
      : m_State(State), m_Finisher(Finisher), m_Dispatcher(RequestDispatcher),
        m_Endpoints(Endpoints) {}

  void attemptEnded(EventContext &Context, const AttemptEnded &Report);
  enum class CulpritKnowledge {
    Known,   ///< The endpoints given caused the failure.
    Unknown, ///< One of them may have caused it.
  };
  /// Cancels the current attempt, then retries or ends the request. Later
  /// attempts of the request avoid the endpoints in Avoid; if the culprit is
  /// unknown, until another attempt fails that way. If IsBudgetExempt, the
  /// retry takes nothing from the retry budget.
  void abandon(EventContext &Context, Request &Req, Attempt &CurrentAttempt,
               const std::string &Reason, const std::vector<std::string> &Avoid,
               CulpritKnowledge Culprit, bool IsBudgetExempt);
  /// True if a further attempt is allowed, apart from budget and deadline.
  bool isRetryAllowed(const Request &Req) const;
  /// True if the next attempt takes from the retry budget of the pool.
  static bool needsRetryBudget(const Request &Req);

private:
  void currentAttemptEnded(EventContext &Context, Request &Req,
                           const Attempt &EndedAttempt,
                           const AttemptEnded &Report);
  void currentAttemptFinished(EventContext &Context, Request &Req,
                              const Attempt &EndedAttempt,
                              const AttemptEnded &Report);
  void currentAttemptRejected(EventContext &Context, Request &Req,
                              const AttemptEnded &Report);
  /// The reason why no further attempt may follow; empty if one may. Takes a
  /// retry from the budget of the pool if the attempt needs one.
  std::optional<FailureReason> retryDenialReason(EventContext &Context,
                                                 const Request &Req,
                                                 bool IsBudgetExempt);
  void retryOrFinish(EventContext &Context, Request &Req,
                     const std::string &Reason, bool IsBudgetExempt,
                     Duration Delay);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  Dispatcher &m_Dispatcher;
  EndpointSystem &m_Endpoints;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_RETRYSYSTEM_H
