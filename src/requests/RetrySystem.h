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
  RetrySystem(RouterState &State, RequestFinisher &Finisher, Dispatcher &Queues,
              EndpointSystem &Endpoints)
      : m_State(State), m_Finisher(Finisher), m_Queues(Queues),
        m_Endpoints(Endpoints) {}

  void attemptEnded(Context &Call, const AttemptEnded &End);
  /// Cancels the current attempt, then retries or ends the request. Later
  /// attempts of the request avoid the endpoints in Avoid. If IsFree, the retry
  /// takes nothing from the retry budget.
  void abandon(Context &Call, Request &Subject, Attempt &Current,
               const std::string &Reason, const std::vector<std::string> &Avoid,
               bool IsFree);
  /// True if a further attempt is allowed, apart from budget and deadline.
  bool canRepeat(const Request &Subject) const;
  /// True if the next attempt takes from the retry budget of the pool.
  static bool needsBudget(const Request &Subject);

private:
  void currentEnded(Context &Call, Request &Subject, const Attempt &Ended,
                    const AttemptEnded &End);
  void finished(Context &Call, Request &Subject, const Attempt &Ended,
                const AttemptEnded &End);
  void rejected(Context &Call, Request &Subject, const AttemptEnded &End);
  /// The reason why no further attempt may follow; empty if one may. Takes a
  /// retry from the budget of the pool if the attempt needs one.
  std::optional<FailureReason> obstacle(Context &Call, const Request &Subject,
                                        bool IsFree);
  void retry(Context &Call, Request &Subject, const std::string &Reason,
             bool IsFree, Duration Delay);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  Dispatcher &m_Queues;
  EndpointSystem &m_Endpoints;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_RETRYSYSTEM_H
