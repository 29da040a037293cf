#ifndef PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H
#define PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H

#include "admission/FairQueue.h"

#include <functional>

namespace parsleyring {

/// Queue of requests that wait briefly for capacity at the endpoints of a
/// service. Requests are sent in the order of FairQueue: fair between client
/// accounts, then by priority.
class AdmissionQueue {
public:
  struct WaitingRequest {
    std::string m_Account;
    std::int32_t m_Priority = 0; ///< Higher is sent first within the account.
    Time m_Until;                ///< Deadline of the wait.
    /// Sends the request; returns false if there is still no capacity.
    std::function<bool()> m_TrySend;
    /// Called if the request is dropped, at its deadline or from a full queue.
    std::function<void()> m_OnDropped;
  };

  AdmissionQueue() : m_Queue(MaxLength) {}

  /// Returns the number of the request in the queue, or 0 if the queue is full.
  /// A full queue drops a request of an account that holds more than its share
  /// in favour of the new one.
  RequestNumber add(Time Now, WaitingRequest Request);
  /// Does nothing if Number is not queued.
  void remove(RequestNumber Number);
  /// Sends requests while there is capacity, and drops those whose deadline has
  /// passed.
  void tick(Time Now);
  bool empty() const { return m_Waiting.empty(); }
  std::size_t size() const { return m_Waiting.size(); }

  /// About the number of requests that one VM can send within the wait.
  static constexpr std::size_t MaxLength = 12;

private:
  bool enqueue(Time Now, RequestNumber Number);
  void drop(RequestNumber Number);

  FairQueue m_Queue;
  std::map<RequestNumber, WaitingRequest> m_Waiting;
  RequestNumber m_LastNumber = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H
