#ifndef PARSLEYRING_GATEWAY_STREAMWAIT_H
#define PARSLEYRING_GATEWAY_STREAMWAIT_H

#include "admission/LimitedWait.h"
#include "gateway/ForwardContext.h"
#include "gateway/StreamPlanner.h"

#include <functional>
#include <string_view>

namespace parsleyring {

/// The waits of one stream request in the admission queue of its service.
class StreamWait {
public:
  struct Conditions {
    std::int32_t m_Priority = 0; ///< Higher is sent first within the account.
    Time m_Until{};
    /// An attempt may have run: the request is lost if it is not sent in time.
    bool m_HasRun = false;
    std::function<bool()> m_TrySend;
    std::function<void()> m_EndUnanswered;
  };

  /// The arguments must outlive this object, and the handlers of the conditions
  /// must keep this object until they are called or dropped.
  StreamWait(ForwardContext &Context, const ForwardJob &Job,
             const StreamPlanner &Planner)
      : m_Context(Context), m_Job(Job), m_Planner(Planner) {}

  /// Queues the request until an engine has capacity; false if it cannot wait.
  bool begin(std::string_view Reason, Conditions Wait);
  /// Removes the request from the queue if it is there.
  void end();
  bool isQueued() const { return m_QueueNumber != 0; }
  /// The wait for limited engines; null if the request does not wait.
  const LimitedWait *limitedWait() const {
    return m_WaitingSince != Time{} ? &m_LimitedWait : nullptr;
  }
  Duration queuedTime() const { return m_QueuedTime; }

private:
  void recordWait();
  bool isRestLongerThan(Time WaitUntil, bool HasRun) const;

  ForwardContext &m_Context;
  const ForwardJob &m_Job;
  const StreamPlanner &m_Planner;

  // While the request is in the admission queue.
  RequestNumber m_QueueNumber = 0; ///< 0 if it is not in the queue.
  Time m_WaitingSince{};           ///< Zero if it is not in the queue.
  LimitedWait m_LimitedWait;

  Duration m_QueuedTime{}; ///< Total time in the admission queue.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMWAIT_H
