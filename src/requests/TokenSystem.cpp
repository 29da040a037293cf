#include "requests/TokenSystem.h"

#include "requests/RouteCheck.h"

namespace parsleyring {

bool TokenSystem::tokenArrived(Context &Call, const TokenArrived &Token) {
  Attempt *Current = m_State.attempt(Token.m_Attempt);
  Request *Subject = Current ? m_State.request(Current->m_Request) : nullptr;
  // A token proves that the attempt ran, whatever result it reports later. Also
  // holds for tokens that are dropped or rejected below.
  if (Subject && Subject->m_Kind == RequestKind::Completion)
    Subject->m_MayHaveRun = true;
  // Drops tokens of replaced attempts, ended requests and service calls.
  if (!Subject || Subject->m_CurrentAttempt != Token.m_Attempt ||
      Subject->m_Kind != RequestKind::Completion) {
    m_State.m_Counters.add(Counter::TokensDroppedStaleEpoch);
    return true;
  }
  if (!isHopListOfRoute(Current->m_Route, Token.m_Hops)) {
    m_State.m_Counters.add(Counter::TokensRejectedHops);
    std::string Culprit =
        endpointAtFirstWrongHop(Current->m_Route, Token.m_Hops);
    refuse(Call, *Subject, *Current, "wrong-hop", Culprit);
    return false;
  }
  if (Token.m_Position != Subject->m_Delivered ||
      Subject->m_Delivered >= Subject->m_MaxTokens) {
    m_State.m_Counters.add(Counter::TokensRejectedPosition);
    // The first stage holds the stream and numbers its tokens.
    std::string Culprit = Current->m_Route.front().m_Hop.m_Endpoint;
    refuse(Call, *Subject, *Current, "wrong-position", Culprit);
    return false;
  }
  accept(Call, *Subject, *Current);
  return true;
}

void TokenSystem::accept(Context &Call, Request &Subject, Attempt &Current) {
  m_State.m_Counters.add(Counter::TokensDelivered);
  Call.add(DeliverToken{Subject.m_Number, Subject.m_Delivered});
  ++Subject.m_Delivered;
  Subject.m_AttemptsSinceProgress = 0;
  Subject.m_RefusalsSinceProgress = 0;
  Subject.m_Deadline = Call.m_Now + Subject.m_Timeout;
  ++Current.m_Tokens;
  Current.m_ProgressAt = Call.m_Now;
  m_State.m_Planner.noteToken(Call.m_Now, Current.m_Number);
  Current.m_ProgressTimeout =
      m_State.m_Planner.progressTimeout(Current.m_Number);
}

void TokenSystem::refuse(Context &Call, Request &Subject, Attempt &Current,
                         const std::string &Reason,
                         const std::string &Culprit) {
  m_Endpoints.quarantine(Call, Culprit, Reason, Subject.m_Number);
  m_Retries.abandon(Call, Subject, Current, Reason, {Culprit}, false);
}

} // namespace parsleyring
