#ifndef PARSLEYRING_REQUESTS_REQUESTFINISHER_H
#define PARSLEYRING_REQUESTS_REQUESTFINISHER_H

#include "requests/RequestResult.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// The only place where requests end. Cancels the current attempt, ends the
/// claim, writes the audit record, answers the caller and frees the request.
class RequestFinisher {
public:
  explicit RequestFinisher(RouterState &State) : m_State(State) {}

  /// Ends a request that was not admitted.
  void reject(EventContext &Context, RequestNumber Number,
              const std::string &Account, const std::string &Target,
              const RequestResult &Result);
  /// Ends an admitted request and destroys it.
  void finish(EventContext &Context, Request &Req, const RequestResult &Result);
  /// Ends an admitted request with the result for Reason, and destroys it.
  void fail(EventContext &Context, Request &Req, FailureReason Reason);

private:
  void recordFailedSearch(EventContext &Context, const Request &Req);
  void settleClaim(EventContext &Context, const Request &Req,
                   const RequestResult &Result);
  void cancelCurrentAttempt(EventContext &Context, const Request &Req);
  void leaveQueue(const Request &Req);
  void countOutcome(Outcome Result);

  RouterState &m_State;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_REQUESTFINISHER_H
