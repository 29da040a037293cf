#ifndef PARSLEYRING_REQUESTS_REQUESTFINISHER_H
#define PARSLEYRING_REQUESTS_REQUESTFINISHER_H

#include "requests/Ending.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// The only place where requests end. Cancels the current attempt, ends the
/// claim, writes the audit record, answers the caller and frees the request.
class RequestFinisher {
public:
  explicit RequestFinisher(RouterState &State) : m_State(State) {}

  /// Ends a request that was not admitted.
  void reject(Context &Call, RequestNumber Number, const std::string &Account,
              const std::string &Target, const Ending &End);
  /// Ends an admitted request and destroys it.
  void finish(Context &Call, Request &Subject, const Ending &End);
  /// The same, with the result that follows from the reason.
  void fail(Context &Call, Request &Subject, FailureReason Reason);

private:
  void recordFailedSearch(Context &Call, const Request &Subject);
  void settleClaim(Context &Call, const Request &Subject, const Ending &End);
  void cancelCurrentAttempt(Context &Call, const Request &Subject);
  void leaveQueue(const Request &Subject);
  void count(Outcome End);

  RouterState &m_State;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_REQUESTFINISHER_H
