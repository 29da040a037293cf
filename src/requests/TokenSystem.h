#ifndef PARSLEYRING_REQUESTS_TOKENSYSTEM_H
#define PARSLEYRING_REQUESTS_TOKENSYSTEM_H

#include "requests/EndpointSystem.h"
#include "requests/RetrySystem.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Delivers a token only if it belongs to the current attempt, has the next
/// position and passed exactly the stages of the route. A token that fails one
/// of the last two checks quarantines an endpoint and ends the attempt.
class TokenSystem {
public:
  TokenSystem(RouterState &State, EndpointSystem &Endpoints,
              RetrySystem &Retries)
      : m_State(State), m_Endpoints(Endpoints), m_Retries(Retries) {}

  /// Returns false if the token was rejected and its attempt abandoned.
  bool tokenArrived(EventContext &Context, const TokenArrived &Token);

private:
  void acceptToken(EventContext &Context, Request &Req,
                   Attempt &CurrentAttempt);
  void rejectToken(EventContext &Context, Request &Req, Attempt &CurrentAttempt,
                   const std::string &Reason,
                   const std::string &FaultyEndpoint);

  RouterState &m_State;
  EndpointSystem &m_Endpoints;
  RetrySystem &m_Retries;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_TOKENSYSTEM_H
