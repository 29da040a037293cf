#ifndef PARSLEYRING_GATEWAY_DIGESTEXCHANGE_H
#define PARSLEYRING_GATEWAY_DIGESTEXCHANGE_H

#include "gateway/ActiveConfiguration.h"
#include "membership/LoadDigest.h"
#include "store/StoreWatcher.h"
#include "store/VMDirectory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace parsleyring {

/// Exchanges load digests over UDP, which also tell which revision of the
/// store's items each VM knows. Within a failure domain each VM sends to
/// all others. Between failure domains, where traffic is expensive, only the
/// representatives exchange the sums of their domains, and forward those that
/// they receive within their own domain.
class DigestExchange {
public:
  /// Called with what a digest of another VM, or failure domain, has changed.
  using ChangeHandler =
      std::function<void(const DigestChanges &, const std::string &By)>;

  /// Address is IP:port (UDP), or empty to disable the exchange; all VMs use
  /// the same port. Throws std::exception if the address cannot be bound.
  DigestExchange(boost::asio::io_context &Loop, const std::string &Address,
                 const ListedVM &Self, const VMDirectory &VMs,
                 FleetTable &Fleet, StoreWatcher &Watcher,
                 ActiveConfiguration &Configuration, std::function<Time()> Now,
                 ChangeHandler OnChanges);

  /// Drops the digests of silent senders and updates the endpoints' loads.
  void refresh() { m_DigestTable.refresh(m_Fleet, m_Now()); }
  void sendToDomainPeers();
  /// Does nothing unless this VM is a representative of its failure domain.
  void sendToOtherDomains();
  /// Number of other VMs of the failure domain that sent a digest recently.
  std::size_t recentVMCount() const { return m_DigestTable.recentVMCount(); }
  /// Tells what the digests say about the demand for links.
  const LoadDigestTable &table() const { return m_DigestTable; }
  void setLinkDemand(const std::map<DomainLink, double> &Demand) {
    m_DigestTable.setLinkDemand(Demand);
  }

private:
  void receive();
  void handleDigest(const std::string &Bytes);
  void forwardDigest(const std::string &Bytes);
  std::string encode(LoadDigest Digest) const;
  void send(const ListedVM &VM, const std::string &Bytes);

  const ListedVM m_Self;
  const VMDirectory &m_VMs;
  FleetTable &m_Fleet;
  StoreWatcher &m_StoreWatcher;
  ActiveConfiguration &m_Configuration;
  std::function<Time()> m_Now;
  ChangeHandler m_OnChanges;
  LoadDigestTable m_DigestTable;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, 16384> m_Buffer{};
  std::uint16_t m_Port = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_DIGESTEXCHANGE_H
