#include "gateway/StartupQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyring {

bool StartupQueue::add(CallerRequest &Request,
                       const std::shared_ptr<CallerConnection> &Caller,
                       std::optional<Duration> CallerTimeout) {
  if (m_Waiting.size() >= MaxLength)
    return false;
  Duration Wait = MaxWait;
  if (CallerTimeout)
    Wait = std::min(Wait, *CallerTimeout / CallerTimeoutPart);
  Time Until = Request.m_ReceivedAt + Wait;
  m_Waiting.push_back({std::move(Request), Caller, Until});
  return true;
}

std::vector<StartupQueue::WaitingRequest> StartupQueue::takeAll() {
  return std::exchange(m_Waiting, {});
}

std::vector<StartupQueue::WaitingRequest> StartupQueue::takeDue(Time Now) {
  auto FirstDue = std::stable_partition(
      m_Waiting.begin(), m_Waiting.end(),
      [Now](const WaitingRequest &Entry) { return Now < Entry.m_Until; });
  std::vector<WaitingRequest> Due(std::make_move_iterator(FirstDue),
                                  std::make_move_iterator(m_Waiting.end()));
  m_Waiting.erase(FirstDue, m_Waiting.end());
  return Due;
}

} // namespace parsleyring
