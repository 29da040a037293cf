#include "gateway/ReadyHandler.h"

namespace parsleyring {

void ReadyHandler::handleRequest(
    CallerRequest, const std::shared_ptr<CallerConnection> &Connection) {
  bool IsReady = m_Configuration.table() && !m_Callers.isStopping();
  Connection->answer(IsReady ? 200 : 503, {}, "");
}

} // namespace parsleyring
