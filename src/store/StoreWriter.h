#ifndef PARSLEYRING_STORE_STOREWRITER_H
#define PARSLEYRING_STORE_STOREWRITER_H

#include "store/StoreClient.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace parsleyring {

/// Writes and removes items of the store that need no condition and no lease.
/// Each call is repeated until the store has accepted it, also through outages.
class StoreWriter {
public:
  /// Called if the store will not accept a change of Key, which is given up.
  using RejectionHandler =
      std::function<void(const std::string &Key, unsigned Status)>;

  StoreWriter(boost::asio::io_context &Loop, StoreClient &Client,
              const StoreProtocol &Protocol, std::string StoreAddress,
              RejectionHandler OnRejected);

  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

  /// Changes that wait for the store; further ones are rejected with status 0.
  static constexpr std::size_t MaxPending = 256;

private:
  void add(const std::string &Key, std::optional<std::string> Value);
  void sendNext();
  void handleReply(const std::string &Key,
                   const std::optional<std::string> &Value,
                   const CallReply &Reply);
  void retryLater();

  StoreClient &m_Client;
  const StoreProtocol &m_Protocol;
  const std::string m_StoreAddress;
  RejectionHandler m_OnRejected;
  boost::asio::steady_timer m_RetryTimer;
  /// Values to write by key; no value to remove the key.
  std::map<std::string, std::optional<std::string>> m_Pending;
  bool m_IsSending = false; ///< A call or the wait for its retry is running.
  Duration m_RetryDelay{};
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREWRITER_H
