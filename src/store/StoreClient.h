#ifndef PARSLEYRING_STORE_STORECLIENT_H
#define PARSLEYRING_STORE_STORECLIENT_H

#include "gateway/HttpClient.h"
#include "gateway/NodeMetrics.h"
#include "store/StoreProtocol.h"

namespace parsleyring {

/// Makes and counts calls to the store, and to other VMs about its items.
class StoreClient {
public:
  StoreClient(HttpClient &Client, NodeMetrics &Metrics)
      : m_HttpClient(Client), m_Metrics(Metrics) {}

  /// Calls Address (IP:port); Timeout applies to the whole call.
  void call(const std::string &Address, const StoreCall &Call, Duration Timeout,
            HttpClient::Handler OnReply);

private:
  HttpClient &m_HttpClient;
  NodeMetrics &m_Metrics;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STORECLIENT_H
