#include "peers/PeerService.h"

#include "core/SocketAddress.h"
#include "peers/CountingTransport.h"
#include "peers/WireConversion.h"

#include "Peer.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <stdexcept>

using namespace apache::thrift;

namespace parsleyring {

// Peers send a heartbeat each second; a connection that is idle for this long
// is dead or was abandoned by its peer.
static constexpr int IdleConnectionMillis = 10000;
static constexpr int SendTimeoutMillis = 2000;
static constexpr int MaxConnections = 256;
/// Not a value of ReservationState; the querying VM treats it as no answer.
static constexpr std::int32_t UnknownReservationState = -1;

namespace {

class Handler : public wire::PeerIf {
public:
  Handler(const Incarnation &Self, const PeerCallbacks &Callbacks,
          const std::function<void(const Digest &)> &OnDigest)
      : m_Self(Self), m_Callbacks(Callbacks), m_OnDigest(OnDigest) {}

  void heartbeat(const wire::Digest &Value) override {
    m_OnDigest(fromWire(Value));
  }

  void fetchHead(wire::Head &Result) override {
    Result.version =
        static_cast<std::int64_t>(m_Callbacks.m_ConfigurationVersion());
    Result.json = m_Callbacks.m_HeadJson();
  }

  void fetchChunk(std::string &Result, const std::string &Sha256) override {
    Result = m_Callbacks.m_Chunk(Sha256);
  }

  void requestState(wire::KeptAnswer &Result,
                    const std::int64_t IncarnationNumber,
                    const std::int64_t Number,
                    const std::int32_t From) override {
    if (isOwnIncarnation(IncarnationNumber))
      Result = toWire(m_Callbacks.m_RequestState(
          static_cast<RequestNumber>(Number),
          static_cast<std::uint32_t>(From < 0 ? 0 : From)));
  }

  void keyState(wire::KeptAnswer &Result, const std::int64_t IncarnationNumber,
                const std::string &Account, const std::string &Key) override {
    if (isOwnIncarnation(IncarnationNumber))
      Result = toWire(m_Callbacks.m_KeyState(Account, Key));
  }

  void takeReservation(wire::TakenReservation &Result,
                       const std::int64_t IncarnationNumber,
                       const std::string &Account, const std::string &Key,
                       const std::string &BodySha256,
                       const std::string &Holder) override {
    // The state of reservations of an earlier incarnation is unknown.
    Result.stateBefore = UnknownReservationState;
    if (!isOwnIncarnation(IncarnationNumber))
      return;
    ReservationTable::TakeResult Taken =
        m_Callbacks.m_TakeReservation(Account, Key, BodySha256, Holder);
    Result.stateBefore = static_cast<std::int32_t>(Taken.m_PreviousState);
    Result.otherBody = Taken.m_BodyDiffers;
    Result.holder = Taken.m_Holder;
  }

  void endReservation(const std::int64_t IncarnationNumber,
                      const std::string &Key, const bool IsCompleted) override {
    if (isOwnIncarnation(IncarnationNumber))
      m_Callbacks.m_EndReservation(Key, IsCompleted
                                            ? ClaimFinalState::Completed
                                            : ClaimFinalState::Released);
  }

private:
  bool isOwnIncarnation(std::int64_t IncarnationNumber) const {
    return static_cast<std::uint64_t>(IncarnationNumber) == m_Self.m_Number;
  }

  Incarnation m_Self;
  const PeerCallbacks &m_Callbacks;
  const std::function<void(const Digest &)> &m_OnDigest;
};

/// Signals that the server listens.
class ListenNotifier : public server::TServerEventHandler {
public:
  void preServe() override { m_IsListening.set_value(); }
  std::promise<void> m_IsListening;
};

} // namespace

PeerService::PeerService(const std::string &ListenAddress,
                         const Incarnation &Self,
                         const PeerCallbacks &Callbacks,
                         std::function<void(const Digest &)> OnDigest)
    : m_ListenAddress(ListenAddress), m_Self(Self), m_Callbacks(Callbacks),
      m_OnDigest(std::move(OnDigest)) {}

PeerService::~PeerService() { stop(); }

void PeerService::start() {
  std::optional<SocketAddress> ParsedAddress =
      parseSocketAddress(m_ListenAddress);
  if (!ParsedAddress)
    throw std::invalid_argument("listen.peers is not IP:port: " +
                                m_ListenAddress);
  auto Socket = std::make_shared<transport::TServerSocket>(
      ParsedAddress->m_Host, ParsedAddress->m_Port);
  Socket->setRecvTimeout(IdleConnectionMillis);
  Socket->setSendTimeout(SendTimeoutMillis);
  auto Server = std::make_shared<server::TThreadedServer>(
      std::make_shared<wire::PeerProcessor>(
          std::make_shared<Handler>(m_Self, m_Callbacks, m_OnDigest)),
      Socket,
      std::make_shared<CountingTransportFactory>(m_Callbacks.m_CountBytes),
      std::make_shared<protocol::TCompactProtocolFactory>());
  Server->setConcurrentClientLimit(MaxConnections);
  auto Notifier = std::make_shared<ListenNotifier>();
  Server->setServerEventHandler(Notifier);
  m_Server = Server;
  std::future<void> IsListening = Notifier->m_IsListening.get_future();
  m_Thread = std::thread([Server, Notifier] {
    try {
      Server->serve();
    } catch (const TException &) {
      Notifier->m_IsListening.set_exception(std::current_exception());
    }
  });
  try {
    IsListening.get();
  } catch (const TException &Error) {
    m_Thread.join();
    throw std::runtime_error("cannot listen for peers on " + m_ListenAddress +
                             ": " + Error.what());
  }
}

void PeerService::stop() {
  if (!m_Thread.joinable())
    return;
  m_Server->stop();
  m_Thread.join();
}

} // namespace parsleyring
