#ifndef PARSLEYRING_GATEWAY_STARTUPQUEUE_H
#define PARSLEYRING_GATEWAY_STARTUPQUEUE_H

#include "gateway/CallerConnection.h"

#include <memory>
#include <optional>
#include <vector>

namespace parsleyring {

/// The requests that a starting process receives before it has a configuration.
/// They wait for it, since it arrives within some hundred milliseconds, and a
/// refused caller may not return often enough to be served at all. When many
/// VMs start at the same time, there is no other VM that could serve them.
class StartupQueue {
public:
  struct WaitingRequest {
    CallerRequest m_Request;
    std::shared_ptr<CallerConnection> m_Caller;
    Time m_Until{}; ///< Refused then.
  };

  /// Queues the request. CallerTimeout is how long the caller waits for the
  /// answer, if that is known. Returns false, and leaves the arguments as they
  /// are, if the queue is full.
  bool add(CallerRequest &Request,
           const std::shared_ptr<CallerConnection> &Caller,
           std::optional<Duration> CallerTimeout);
  /// Removes and returns all requests, in the order of their arrival.
  std::vector<WaitingRequest> takeAll();
  /// Removes and returns the requests whose wait is over.
  std::vector<WaitingRequest> takeDue(Time Now);
  bool empty() const { return m_Waiting.empty(); }

  /// A VM with a slow link reads its configuration in up to 700 ms while all
  /// VMs start. After a second, callers may leave a request that must not run
  /// twice and has not been answered.
  static constexpr Duration MaxWait = std::chrono::milliseconds(800);
  /// The rest of the time remains for the request itself.
  static constexpr int CallerTimeoutPart = 4;
  static constexpr std::size_t MaxLength = 256;

private:
  std::vector<WaitingRequest> m_Waiting;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STARTUPQUEUE_H
