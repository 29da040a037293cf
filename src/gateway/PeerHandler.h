#ifndef PARSLEYRING_GATEWAY_PEERHANDLER_H
#define PARSLEYRING_GATEWAY_PEERHANDLER_H

#include "gateway/ActiveConfiguration.h"
#include "gateway/InternalHandler.h"
#include "store/StoreWatcher.h"

#include <vector>

namespace parsleyring {

/// Serves the items read from the store to other VMs by long poll: answers when
/// there are newer items or the wait of the call is over. Also serves the
/// state that the store may lack.
class PeerHandler final : public InternalHandler {
public:
  /// What the object works with; all of it must outlive the object.
  struct Dependencies {
    const ActiveConfiguration &m_Configuration;
    const FleetTable &m_Fleet;
    const StoreWatcher &m_StoreWatcher;
  };

  PeerHandler(RequestHandler &Callers, MemoryBudget &Memory, Dependencies Used)
      : InternalHandler(Callers, Memory), m_Used(Used) {}

  void
  handleRequest(CallerRequest Request,
                const std::shared_ptr<CallerConnection> &Connection) override;
  void answerAll();
  void answerDue(Time Now);

private:
  struct WaitingCall {
    std::shared_ptr<CallerConnection> m_Connection;
    StoreVersion m_Version;
    Time m_Until{};
  };

  void answerState(CallerConnection &Connection);
  void answer(CallerConnection &Connection, const StoreVersion &Version);
  template <typename Condition> void answerIf(Condition IsDue);

  const Dependencies m_Used;
  std::vector<WaitingCall> m_WaitingCalls;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_PEERHANDLER_H
