#ifndef PARSLEYRING_PLATFORM_HTTPPLATFORMCLIENT_H
#define PARSLEYRING_PLATFORM_HTTPPLATFORMCLIENT_H

#include "parsleyring/PlatformClient.h"

#include <functional>
#include <memory>

namespace parsleyring {

/// Client of a key-value service that implements the published Consul KV
/// format. Each call opens its own connection, since an open connection can be
/// dead without an error; the additional round trip to the platform takes less
/// than 1 ms.
class HttpPlatformClient : public PlatformClient {
public:
  /// Address is IP:port. Timeout applies separately to connecting, sending and
  /// waiting for the answer. CountBytes gets the bytes of each call; may be
  /// empty.
  HttpPlatformClient(const std::string &Address, Duration Timeout,
                     std::function<void(std::uint64_t)> CountBytes = {});
  ~HttpPlatformClient() override;

  std::optional<PlatformValue> read(const std::string &Key) override;
  WatchResult watch(const std::string &Key, std::uint64_t After,
                    Duration Wait) override;
  bool compareAndSwap(const std::string &Key, const std::string &Value,
                      std::uint64_t Expected) override;
  bool remove(const std::string &Key, std::uint64_t Expected) override;

  /// Aborts the calls in progress and makes later calls fail with NoEffect.
  /// Returns when no call is in progress.
  void shutDown();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLATFORM_HTTPPLATFORMCLIENT_H
