#ifndef PARSLEYRING_ADMISSION_FAIRQUEUE_H
#define PARSLEYRING_ADMISSION_FAIRQUEUE_H

#include "parsleyring/Types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyring {

/// A request that waits for a free slot.
struct QueueEntry {
  RequestNumber m_Request = 0;
  std::string m_Account;
  double m_Share = 1;          ///< Weight of the account.
  std::int32_t m_Priority = 0; ///< Higher is served first within the account.
  double m_Cost = 1;           ///< Amount charged to the account, in any unit.
  Time m_Deadline;
};

struct PushResult {
  bool m_IsQueued = false;
  /// Request that was removed from the full queue, unsent, because its account
  /// holds more than its share.
  std::optional<RequestNumber> m_Displaced;
};

/// Bounded queue of one pool. Start-time fair queueing, weighted by the shares
/// of the accounts; within an account by priority, then by arrival.
class FairQueue {
public:
  explicit FairQueue(std::size_t Limit) : m_Limit(Limit) {}

  /// Lowering the limit does not remove queued requests.
  void setLimit(std::size_t Limit) { m_Limit = Limit; }

  PushResult push(Time Now, const QueueEntry &Entry);
  /// The request that pop() would return.
  std::optional<RequestNumber> front(Time Now) const;
  /// Removes and returns the next request whose deadline has not passed.
  std::optional<RequestNumber> pop(Time Now);
  /// Returns false if the request is not queued.
  bool remove(RequestNumber Request);
  /// Removes and returns the requests whose deadline has passed.
  std::vector<RequestNumber> takeExpired(Time Now);
  std::size_t size() const { return m_Entries.size(); }

private:
  /// Sort key of the requests of one account.
  struct Position {
    std::int32_t m_Priority = 0;
    std::uint64_t m_Arrival = 0;
    bool operator<(const Position &Other) const {
      return m_Priority != Other.m_Priority ? m_Priority > Other.m_Priority
                                            : m_Arrival < Other.m_Arrival;
    }
  };

  struct Flow {
    std::map<Position, RequestNumber> m_Waiting;
    double m_Share = 1;
    double m_StartTag = 0; ///< Virtual start time of the next request.
  };

  struct QueuedRequest {
    std::string m_Account;
    Position m_Position;
    double m_Cost = 1;
    Time m_Deadline;
  };

  std::optional<RequestNumber> displaceFor(const QueueEntry &Entry);
  void erase(RequestNumber Request);
  void removeIdleFlows();

  std::size_t m_Limit;
  std::uint64_t m_ArrivalCount = 0;
  double m_VirtualTime = 0;
  std::unordered_map<RequestNumber, QueuedRequest> m_Entries;
  std::map<std::string, Flow> m_Flows;
  std::set<std::pair<Time, RequestNumber>> m_Deadlines;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_FAIRQUEUE_H
