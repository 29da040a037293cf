#ifndef PARSLEYRING_REQUESTS_TOKENSYSTEM_H
#define PARSLEYRING_REQUESTS_TOKENSYSTEM_H

#include "requests/EndpointSystem.h"
#include "requests/RetrySystem.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Accepts a token only if it is the next one of the newest attempt and ran
/// through exactly the stages of the route.
class TokenSystem {
public:
  TokenSystem(RouterState &State, EndpointSystem &Endpoints,
              RetrySystem &Retries)
      : m_State(State), m_Endpoints(Endpoints), m_Retries(Retries) {}

  /// Returns false if the token ended its attempt.
  bool tokenArrived(Context &Call, const TokenArrived &Token);

private:
  void accept(Context &Call, Request &Subject, Attempt &Current);
  void refuse(Context &Call, Request &Subject, Attempt &Current,
              const std::string &Reason, const std::string &Culprit);

  RouterState &m_State;
  EndpointSystem &m_Endpoints;
  RetrySystem &m_Retries;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_TOKENSYSTEM_H
