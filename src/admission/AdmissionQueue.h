#ifndef PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H
#define PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H

#include "admission/FairQueue.h"

#include <functional>

namespace parsleyring {

/// Requests that wait a moment for room at the endpoints of a service. They
/// leave in the order of FairQueue: fair between client accounts, then by
/// priority.
class AdmissionQueue {
public:
  struct WaitingRequest {
    std::string m_Account;
    std::int32_t m_Priority = 0; ///< Greater goes first within the account.
    Time m_Until;                ///< Given up from then on.
    /// Sends the request; false if there is still no room.
    std::function<bool()> m_Try;
    /// The wait was in vain.
    std::function<void()> m_GiveUp;
  };

  AdmissionQueue() : m_Queue(MaxLength) {}

  /// Number in the queue; 0 if it is full. A request of an account
  /// that holds more than its share is given up for it.
  RequestNumber add(Time Now, WaitingRequest Added);
  /// Does nothing if Number is not in the queue.
  void remove(RequestNumber Number);
  /// Lets requests go while there is room, and gives up those whose time has
  /// passed.
  void tick(Time Now);
  bool empty() const { return m_Waiting.empty(); }

  /// About as many as one VM can let go within the wait.
  static constexpr std::size_t MaxLength = 12;

private:
  bool queue(Time Now, RequestNumber Number);
  void giveUp(RequestNumber Number);

  FairQueue m_Queue;
  std::map<RequestNumber, WaitingRequest> m_Waiting;
  RequestNumber m_LastNumber = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H
