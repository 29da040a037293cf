#ifndef PARSLEYRING_NODE_ROUTERLOOP_H
#define PARSLEYRING_NODE_ROUTERLOOP_H

#include "endpoints/EndpointAttempt.h"
#include "node/NodeClock.h"
#include "parsleyring/Router.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace parsleyring {

/// An event with payload that the Router does not process.
struct LoopInput {
  Event m_Event;
  std::string m_TokenText{};   ///< For TokenArrived.
  AttemptReport m_Report = {}; ///< For AttemptEnded.
};

/// Passes events from any thread to the Router one at a time, and executes the
/// resulting actions in order. An event that is posted while another is handled
/// is queued and handled afterwards by the same thread.
class RouterLoop {
public:
  /// Executes one action; must not block. The LoopInput is the event that
  /// caused the action.
  using Executor = std::function<void(Time Now, const Action &, LoopInput &)>;
  /// Called with every event before the Router handles the event.
  using Observer = std::function<void(Time Now, const Event &)>;

  RouterLoop(const RouterOptions &Options, const NodeClock &Clock,
             Executor Execute, Observer Observe = {});
  ~RouterLoop();

  void post(LoopInput Input);
  void post(const Event &Value) { post(LoopInput{Value}); }

  /// Starts the thread that posts Tick.
  void start();
  void stop();

  RouterCounters counters() const;
  ConfigurationVersion configurationVersion() const;
  bool hasRequestsInProgress() const;

private:
  void handle(LoopInput &Input);
  void runTicks();

  const NodeClock &m_Clock;
  const Executor m_Execute;
  const Observer m_Observe;

  mutable std::mutex m_RouterMutex; ///< Guards m_Router and m_Actions.
  Router m_Router;
  std::vector<Action> m_Actions;

  std::mutex m_InputMutex; ///< Guards m_Inputs and m_IsHandling.
  std::deque<LoopInput> m_Inputs;
  bool m_IsHandling = false;

  std::mutex m_TickMutex;
  std::condition_variable m_Stopped;
  bool m_IsStopping = false;
  std::thread m_TickThread;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_ROUTERLOOP_H
