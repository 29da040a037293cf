#include "store/StoreClient.h"

namespace parsleyring {

void StoreClient::call(const std::string &Address, const StoreCall &Call,
                       Duration Limit, HttpClient::Handler OnReply) {
  m_Caller.call({Address, Call.m_Method, Call.m_Target, Call.m_Body, {}, Limit},
                [this, OnReply = std::move(OnReply)](const CallReply &Reply) {
                  m_Metrics.countStoreCall(Reply.m_Status);
                  OnReply(Reply);
                });
}

} // namespace parsleyring
