#ifndef PARSLEYRING_REQUESTS_DISPATCHER_H
#define PARSLEYRING_REQUESTS_DISPATCHER_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Starts attempts of the requests that wait, as far as routes are free.
class Dispatcher {
public:
  Dispatcher(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  /// Puts a request into the queue of its pool, or ends it if that is full.
  void enqueue(Context &Call, Request &Subject);
  /// Puts a request before the queue, for a further attempt.
  void requeue(Context &Call, Request &Subject);
  /// Starts what can start now, in all pools.
  void dispatch(Context &Call);

private:
  /// Both return false if the pool has no free route.
  bool dispatchWaiting(Context &Call, PoolState &Pool);
  bool dispatchNext(Context &Call, PoolState &Pool);
  bool tryStart(Context &Call, PoolState &Pool, Request &Subject);
  void start(Context &Call, const PoolState &Pool, Request &Subject,
             const RoutePlan &Plan);
  void addStartAction(Context &Call, const Request &Subject,
                      const Attempt &Started);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_DISPATCHER_H
