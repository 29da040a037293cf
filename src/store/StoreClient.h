#ifndef PARSLEYRING_STORE_STORECLIENT_H
#define PARSLEYRING_STORE_STORECLIENT_H

#include "gateway/HttpClient.h"
#include "gateway/NodeMetrics.h"
#include "store/StoreProtocol.h"

namespace parsleyring {

/// Makes and counts calls to the store, and to other VMs about its items.
class StoreClient {
public:
  StoreClient(HttpClient &Caller, NodeMetrics &Metrics)
      : m_Caller(Caller), m_Metrics(Metrics) {}

  /// Calls Address (IP:port); Limit is the timeout of the whole call.
  void call(const std::string &Address, const StoreCall &Call, Duration Limit,
            HttpClient::Handler OnReply);

private:
  HttpClient &m_Caller;
  NodeMetrics &m_Metrics;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STORECLIENT_H
