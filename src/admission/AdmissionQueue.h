#ifndef PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H
#define PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H

#include "admission/FairQueue.h"

#include <functional>

namespace parsleyring {

/// Queue of requests that wait briefly for capacity at the endpoints of a
/// service. Requests are sent by priority across client accounts, and within a
/// priority in the order of FairQueue, fair between accounts. Each fourth one
/// is of the lowest priority that waits, so that none starves.
class AdmissionQueue {
public:
  struct WaitingRequest {
    std::string m_Account;
    std::int32_t m_Priority = 0; ///< Higher is sent first.
    Time m_Until;                ///< Deadline of the wait.
    /// Sends the request; returns false if there is still no capacity.
    std::function<bool()> m_TrySend;
    /// Called if the request is dropped, at its deadline or from a full queue.
    std::function<void()> m_OnDropped;
  };

  /// Returns the number of the request in the queue, or 0 if the queue is full.
  /// A full queue drops a request in favour of the new one: of a lower
  /// priority, unless these hold a quarter of the places at most, or of an
  /// account that holds more than its share.
  RequestNumber add(Time Now, WaitingRequest Request);
  /// Does nothing if Number is not queued.
  void remove(RequestNumber Number);
  /// Sends requests while there is capacity, and drops those whose deadline has
  /// passed.
  void tick(Time Now);
  /// Adapts the length to what can be sent within Wait.
  void setRate(double RequestsPerSecond, Duration Wait);
  bool empty() const { return m_Waiting.empty(); }
  std::size_t size() const { return m_Waiting.size(); }
  /// Number of requests of at least this priority.
  std::size_t sizeFrom(std::int32_t Priority) const;
  /// Number of requests that are sent before a new one of the account.
  std::size_t sizeBefore(std::int32_t Priority,
                         const std::string &Account) const;
  std::map<std::int32_t, std::size_t> sizesByPriority() const;
  std::size_t maxLength() const { return m_MaxLength; }

  /// About the number of requests that one VM can send within the wait if it
  /// sends MinSendsPerTick at most.
  static constexpr std::size_t MinMaxLength = 12;
  static constexpr std::size_t MaxMaxLength = 64;
  /// One in so many sends is of the lowest priority.
  static constexpr int LowestPriorityTurn = 4;
  /// Part of the places that a lower priority keeps, as a divisor.
  static constexpr std::size_t KeptPlacesPart = 4;

private:
  // Few requests are sent per tick: if all waiting requests were sent at once,
  // they would fill the endpoint again and be rejected together.
  static constexpr int MinSendsPerTick = 2;

  bool enqueue(Time Now, RequestNumber Number);
  bool makeRoom(std::int32_t Priority);
  /// Tries to send the request; returns false if it stays in the queue.
  bool trySend(Time Now, RequestNumber Number);
  void drop(RequestNumber Number);

  std::map<std::int32_t, FairQueue> m_Queues; ///< By priority.
  std::map<RequestNumber, WaitingRequest> m_Waiting;
  RequestNumber m_LastNumber = 0;
  RequestNumber m_Trying = 0; ///< The request that is being sent, if any.
  std::size_t m_MaxLength = MinMaxLength;
  int m_SendsPerTick = MinSendsPerTick;
  int m_Sends = 0; ///< Modulo LowestPriorityTurn.
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_ADMISSIONQUEUE_H
