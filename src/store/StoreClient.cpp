#include "store/StoreClient.h"

namespace parsleyring {

void StoreClient::call(const std::string &Address, const StoreCall &Call,
                       Duration Timeout, HttpClient::Handler OnReply) {
  m_HttpClient.call(
      {Address, Call.m_Method, Call.m_Target, Call.m_Body, {}, Timeout},
      [this, OnReply = std::move(OnReply)](const CallReply &Reply) {
        m_Metrics.countStoreCall(Reply.m_Status);
        OnReply(Reply);
      });
}

} // namespace parsleyring
