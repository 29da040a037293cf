#include "gateway/DigestExchange.h"

#include "core/ScopeGuard.h"
#include "core/SocketAddress.h"

#include <boost/asio/buffer.hpp>

#include <stdexcept>

namespace parsleyring {

namespace asio = boost::asio;
using udp = asio::ip::udp;

DigestExchange::DigestExchange(asio::io_context &Loop,
                               const std::string &Address, const ListedVM &Self,
                               const VMDirectory &VMs, FleetTable &Fleet,
                               StoreWatcher &Watcher,
                               ActiveConfiguration &Configuration,
                               std::function<Time()> Now,
                               ChangeHandler OnChanges)
    : m_Self(Self), m_VMs(VMs), m_Fleet(Fleet), m_StoreWatcher(Watcher),
      m_Configuration(Configuration), m_Now(std::move(Now)),
      m_OnChanges(std::move(OnChanges)), m_Socket(Loop) {
  if (Address.empty())
    return;
  std::optional<SocketAddress> Parsed = parseSocketAddress(Address);
  if (!Parsed)
    throw std::runtime_error("cannot exchange digests on \"" + Address +
                             "\": not an IP address with a port");
  m_Port = Parsed->m_Port;
  udp::endpoint Local(asio::ip::make_address(Parsed->m_Host), m_Port);
  m_Socket.open(Local.protocol());
  m_Socket.bind(Local);
  receive();
}

void DigestExchange::receive() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_Sender,
      [this](boost::system::error_code Error, std::size_t Size) {
        if (Error == asio::error::operation_aborted)
          return;
        ScopeGuard ReceiveNext([this] { receive(); });
        if (!Error)
          handleDigest({m_Buffer.data(), Size});
      });
}

void DigestExchange::handleDigest(const std::string &Bytes) {
  auto Digest = LoadDigest::decode(Bytes);
  if (!Digest || Digest->m_Sender == m_Self.m_Name ||
      Digest->m_Sender == m_Self.m_FailureDomain)
    return;
  m_OnChanges(m_DigestTable.apply(*Digest, m_Fleet, m_Now()), Digest->m_Sender);
  std::string PeerAddress = m_VMs.peerAddressAt(m_Sender.address().to_string());
  if (Digest->m_StoreVersion.m_Revision > 0)
    m_StoreWatcher.noteReport(Digest->m_StoreVersion, Digest->m_StoreAnswerAge,
                              PeerAddress);
  if (!m_StoreWatcher.isBehind(Digest->m_StoreVersion))
    m_Configuration.notePeerVersion(Digest->m_ConfigurationVersion,
                                    PeerAddress);
  if (Digest->m_IsDomainSum)
    forwardDigest(Bytes);
}

// The sums of another failure domain reach only the representatives of this
// one. A digest that another VM of this domain forwarded is not forwarded
// again.
void DigestExchange::forwardDigest(const std::string &Bytes) {
  if (m_VMs.isDomainPeer(m_Sender.address().to_string()))
    return;
  for (const ListedVM &VM : m_VMs.domainPeers())
    send(VM, Bytes);
}

// Send errors are ignored, since the next digest replaces a lost one.
void DigestExchange::send(const ListedVM &VM, const std::string &Bytes) {
  std::optional<SocketAddress> Peer = parseSocketAddress(VM.m_PeerAddress);
  if (!Peer || !m_Socket.is_open())
    return;
  boost::system::error_code Ignored;
  m_Socket.send_to(asio::buffer(Bytes),
                   {asio::ip::make_address(Peer->m_Host), m_Port}, 0, Ignored);
}

// Tells only what the store itself answered to this VM: ages that were passed
// on and back would hide that the store has stopped answering.
std::string DigestExchange::encode(LoadDigest Digest) const {
  Digest.m_StoreVersion = m_StoreWatcher.version();
  Digest.m_StoreAnswerAge = m_StoreWatcher.storeAnswerAge();
  Digest.m_ConfigurationVersion = m_Configuration.version();
  return Digest.encode();
}

void DigestExchange::sendToDomainPeers() {
  std::string Bytes =
      encode(m_DigestTable.digestOfVM(m_Self.m_Name, m_Fleet, m_Now()));
  for (const ListedVM &VM : m_VMs.domainPeers())
    send(VM, Bytes);
}

void DigestExchange::sendToOtherDomains() {
  if (!m_VMs.isRepresentative())
    return;
  std::string Bytes = encode(
      m_DigestTable.digestOfDomain(m_Self.m_FailureDomain, m_Fleet, m_Now()));
  for (const std::string &Domain : m_VMs.otherDomains())
    for (const ListedVM &VM : m_VMs.representatives(Domain))
      send(VM, Bytes);
}

} // namespace parsleyring
