#ifndef PARSLEYRING_REQUESTS_DISPATCHER_H
#define PARSLEYRING_REQUESTS_DISPATCHER_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Starts attempts for queued requests and for requests that await a retry,
/// while the planner finds routes for them.
class Dispatcher {
public:
  Dispatcher(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  /// Queues a request in its pool. A full queue ends this request or one that
  /// it displaces.
  void enqueue(EventContext &Context, Request &Req);
  /// Schedules a further attempt; it goes ahead of all queued requests.
  void scheduleRetry(EventContext &Context, Request &Req);
  /// Starts every attempt that can start now, in all pools.
  void dispatch(EventContext &Context);

private:
  /// Starts the requests that await a retry. Returns false if the planner finds
  /// no route.
  bool dispatchRetries(EventContext &Context, PoolState &Pool);
  /// Starts or ends the first queued request. Returns false if the queue is
  /// empty or the planner finds no route.
  bool dispatchNextQueued(EventContext &Context, PoolState &Pool);
  /// Returns false if the planner finds no route for the request.
  bool tryStartAttempt(EventContext &Context, PoolState &Pool, Request &Req);
  void startAttempt(EventContext &Context, const PoolState &Pool, Request &Req,
                    const RoutePlan &Plan);
  void addStartAction(EventContext &Context, const Request &Req,
                      const Attempt &Started);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_DISPATCHER_H
