#include "peers/PeerConnection.h"

#include "core/SocketAddress.h"
#include "peers/CountingTransport.h"
#include "peers/WireConversion.h"

#include "Peer.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TSocket.h>

using namespace apache::thrift;

namespace parsleyring {

static constexpr int ConnectTimeoutMillis = 500;
static constexpr int CallTimeoutMillis = 1000;

class PeerConnection::Client {
public:
  Client(const std::string &Address,
         const CountingTransport::ByteCallback &CountBytes) {
    std::optional<SocketAddress> Peer = parseSocketAddress(Address);
    if (!Peer)
      throw std::invalid_argument("peer address is not IP:port: " + Address);
    auto Socket =
        std::make_shared<transport::TSocket>(Peer->m_Host, Peer->m_Port);
    Socket->setConnTimeout(ConnectTimeoutMillis);
    Socket->setRecvTimeout(CallTimeoutMillis);
    Socket->setSendTimeout(CallTimeoutMillis);
    m_Transport = std::make_shared<CountingTransport>(Socket, CountBytes);
    m_Transport->open();
    m_Peer = std::make_unique<wire::PeerClient>(
        std::make_shared<protocol::TCompactProtocol>(m_Transport));
  }

  wire::PeerClient &peer() { return *m_Peer; }

private:
  std::shared_ptr<transport::TTransport> m_Transport;
  std::unique_ptr<wire::PeerClient> m_Peer;
};

PeerConnection::PeerConnection(const std::string &Address,
                               std::function<void(std::uint64_t)> CountBytes)
    : m_Address(Address), m_CountBytes(std::move(CountBytes)) {}

PeerConnection::~PeerConnection() = default;

template <typename Call> void PeerConnection::run(Call &&MakeCall) {
  try {
    if (!m_Client)
      m_Client = std::make_unique<Client>(m_Address, m_CountBytes);
    MakeCall(m_Client->peer());
  } catch (const std::exception &Error) {
    m_Client.reset();
    throw PeerError("peer " + m_Address + ": " + Error.what());
  }
}

void PeerConnection::heartbeat(const Digest &Value) {
  run([&](wire::PeerClient &Peer) { Peer.heartbeat(toWire(Value)); });
}

std::string PeerConnection::fetchHead() {
  wire::Head Result;
  run([&](wire::PeerClient &Peer) { Peer.fetchHead(Result); });
  return Result.json;
}

std::string PeerConnection::fetchChunk(const std::string &Sha256) {
  std::string Result;
  run([&](wire::PeerClient &Peer) { Peer.fetchChunk(Result, Sha256); });
  return Result;
}

RemoteAnswer PeerConnection::requestState(const OwnedId &Request,
                                          std::uint32_t FromPosition) {
  wire::KeptAnswer Result;
  run([&](wire::PeerClient &Peer) {
    Peer.requestState(Result,
                      static_cast<std::int64_t>(Request.m_Owner.m_Number),
                      static_cast<std::int64_t>(Request.m_Number),
                      static_cast<std::int32_t>(FromPosition));
  });
  return fromWire(Result);
}

RemoteAnswer PeerConnection::keyState(const Incarnation &Owner,
                                      const std::string &Account,
                                      const std::string &Key) {
  wire::KeptAnswer Result;
  run([&](wire::PeerClient &Peer) {
    Peer.keyState(Result, static_cast<std::int64_t>(Owner.m_Number), Account,
                  Key);
  });
  return fromWire(Result);
}

ReservationTable::TakeResult
PeerConnection::takeReservation(const OwnedId &Key, const RequestClaim &Request,
                                const std::string &Holder) {
  wire::TakenReservation Result;
  run([&](wire::PeerClient &Peer) {
    Peer.takeReservation(Result,
                         static_cast<std::int64_t>(Key.m_Owner.m_Number),
                         Request.m_Account, Request.m_IdempotencyKey,
                         Request.m_BodySha256, Holder);
  });
  bool IsKnown =
      Result.stateBefore >= 0 &&
      Result.stateBefore <= static_cast<int>(ReservationState::Completed);
  if (!IsKnown)
    throw PeerError("peer " + m_Address + ": unknown reservation state");
  return {static_cast<ReservationState>(Result.stateBefore), Result.otherBody,
          Result.holder};
}

void PeerConnection::endReservation(const OwnedId &Key, const std::string &Text,
                                    ClaimFinalState End) {
  run([&](wire::PeerClient &Peer) {
    Peer.endReservation(static_cast<std::int64_t>(Key.m_Owner.m_Number), Text,
                        End == ClaimFinalState::Completed);
  });
}

} // namespace parsleyring
