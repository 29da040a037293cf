#ifndef PARSLEYRING_GATEWAY_DIGESTEXCHANGE_H
#define PARSLEYRING_GATEWAY_DIGESTEXCHANGE_H

#include "membership/LoadDigest.h"
#include "store/VMDirectory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace parsleyring {

/// Sends and receives load digests in datagrams. Within a failure domain each
/// VM sends to all; between failure domains, where bytes are dear, only the
/// speakers send to the speakers, which pass the sums on.
class DigestExchange {
public:
  /// Called for an endpoint that another VM suspects and this one did not.
  using SuspicionHandler =
      std::function<void(const FleetTable::Handle &, const std::string &By)>;

  /// Address is IP:port (UDP), or empty for no exchange; the port is the same
  /// on all VMs. Throws std::exception if it cannot be bound.
  DigestExchange(boost::asio::io_context &Loop, const std::string &Address,
                 const ListedVM &Self, const VMDirectory &VMs,
                 FleetTable &Fleet, std::function<Time()> Now,
                 SuspicionHandler OnSuspicion);

  /// Forgets VMs that have been silent.
  void refresh() { m_Table.refresh(m_Fleet, m_Now()); }
  void sendToNeighbours();
  /// Does nothing on a VM that does not speak for its failure domain.
  void sendToOtherDomains();
  /// Other VMs of the failure domain that were heard from lately.
  std::size_t freshVMs() const { return m_Table.freshVMs(); }

private:
  void receive();
  void take(const std::string &Bytes);
  void passOn(const std::string &Bytes);
  void send(const ListedVM &VM, const std::string &Bytes);

  const ListedVM m_Self;
  const VMDirectory &m_VMs;
  FleetTable &m_Fleet;
  std::function<Time()> m_Now;
  SuspicionHandler m_OnSuspicion;
  LoadDigestTable m_Table;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, 16384> m_Buffer{};
  std::uint16_t m_Port = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_DIGESTEXCHANGE_H
