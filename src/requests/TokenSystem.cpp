#include "requests/TokenSystem.h"

#include "requests/HopCheck.h"

namespace parsleyring {

bool TokenSystem::tokenArrived(EventContext &Context,
                               const TokenArrived &Token) {
  Attempt *CurrentAttempt = m_State.attempt(Token.m_Attempt);
  Request *Req =
      CurrentAttempt ? m_State.request(CurrentAttempt->m_Request) : nullptr;
  // A token proves that the attempt ran, whatever result it reports later. Also
  // holds for tokens that are dropped or rejected below.
  if (Req && Req->m_Kind == RequestKind::Completion)
    Req->m_MayHaveRun = true;
  // Drops tokens of replaced attempts, ended requests and service calls.
  if (!Req || Req->m_CurrentAttempt != Token.m_Attempt ||
      Req->m_Kind != RequestKind::Completion) {
    m_State.m_Counters.add(Counter::TokensDroppedStaleEpoch);
    return true;
  }
  if (!hopsMatchRoute(CurrentAttempt->m_Route, Token.m_Hops)) {
    m_State.m_Counters.add(Counter::TokensRejectedHops);
    std::string FaultyEndpoint =
        findFaultyEndpoint(CurrentAttempt->m_Route, Token.m_Hops);
    rejectToken(Context, *Req, *CurrentAttempt, "wrong-hop", FaultyEndpoint);
    return false;
  }
  if (Token.m_Position != Req->m_Delivered ||
      Req->m_Delivered >= Req->m_MaxTokens) {
    m_State.m_Counters.add(Counter::TokensRejectedPosition);
    // The first stage holds the stream and numbers its tokens.
    std::string FaultyEndpoint =
        CurrentAttempt->m_Route.front().m_Hop.m_Endpoint;
    rejectToken(Context, *Req, *CurrentAttempt, "wrong-position",
                FaultyEndpoint);
    return false;
  }
  acceptToken(Context, *Req, *CurrentAttempt);
  return true;
}

void TokenSystem::acceptToken(EventContext &Context, Request &Req,
                              Attempt &CurrentAttempt) {
  m_State.m_Counters.add(Counter::TokensDelivered);
  Context.add(DeliverToken{Req.m_Number, Req.m_Delivered});
  ++Req.m_Delivered;
  Req.m_AttemptsSinceProgress = 0;
  Req.m_RefusalsSinceProgress = 0;
  Req.m_Deadline = Context.m_Now + Req.m_Timeout;
  ++CurrentAttempt.m_Tokens;
  CurrentAttempt.m_ProgressAt = Context.m_Now;
  m_State.m_Planner.noteToken(Context.m_Now, CurrentAttempt.m_Number);
  CurrentAttempt.m_ProgressTimeout =
      m_State.m_Planner.progressTimeout(CurrentAttempt.m_Number);
}

void TokenSystem::rejectToken(EventContext &Context, Request &Req,
                              Attempt &CurrentAttempt,
                              const std::string &Reason,
                              const std::string &FaultyEndpoint) {
  m_Endpoints.quarantine(Context, FaultyEndpoint, Reason, Req.m_Number);
  m_Retries.abandon(Context, Req, CurrentAttempt, Reason, {FaultyEndpoint},
                    RetrySystem::CulpritKnowledge::Known, false);
}

} // namespace parsleyring
