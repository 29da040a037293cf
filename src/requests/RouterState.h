#ifndef PARSLEYRING_REQUESTS_ROUTERSTATE_H
#define PARSLEYRING_REQUESTS_ROUTERSTATE_H

#include "admission/AccountTable.h"
#include "parsleyring/Actions.h"
#include "parsleyring/Router.h"
#include "requests/AccountIndex.h"
#include "requests/Counters.h"
#include "requests/PoolTable.h"
#include "requests/Request.h"
#include "routing/RoutePlanner.h"

#include <map>
#include <memory>
#include <set>

namespace parsleyring {

/// Time and output of one call of Router::handle().
struct EventContext {
  Time m_Now;
  std::vector<Action> &m_Actions;

  void add(Action &&Decided) { m_Actions.push_back(std::move(Decided)); }
};

/// State of the Router, shared by its systems (the classes named ...System),
/// each of which handles some of the events.
struct RouterState {
  explicit RouterState(const RouterOptions &Options)
      : m_Options(Options), m_Planner(Options.m_FailureDomain, Options.m_Seed) {
  }

  Request *request(RequestNumber Number) {
    auto Entry = m_Requests.find(Number);
    return Entry == m_Requests.end() ? nullptr : &Entry->second;
  }
  Attempt *attempt(AttemptNumber Number) {
    auto Entry = m_Attempts.find(Number);
    return Entry == m_Attempts.end() ? nullptr : &Entry->second;
  }

  RouterOptions m_Options;
  std::shared_ptr<const Document> m_Document; ///< Null at first.
  ConfigurationVersion m_Version = 0;
  AccountIndex m_AccountIndex;
  AccountTable m_Accounts;
  PoolTable m_Pools;
  RoutePlanner m_Planner;
  // Ordered maps, so that a replay visits the entries in the same order.
  std::map<RequestNumber, Request> m_Requests;
  std::map<AttemptNumber, Attempt> m_Attempts;
  AttemptNumber m_LastAttempt = 0;
  /// Requests that ended before their claim was settled.
  std::set<RequestNumber> m_AbandonedClaims;
  bool m_IsDraining = false;
  Counters m_Counters;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ROUTERSTATE_H
