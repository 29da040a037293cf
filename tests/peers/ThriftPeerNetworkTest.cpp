#include "peers/ThriftPeerNetwork.h"

#include "support/TestMain.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

constexpr std::chrono::seconds WaitTimeout(30);

Time currentTime() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

std::string freeAddress() {
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof Address;
  bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  close(Socket);
  return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
}

template <typename Condition> bool eventually(Condition &&IsTrue) {
  auto Limit = std::chrono::steady_clock::now() + WaitTimeout;
  while (!IsTrue()) {
    if (std::chrono::steady_clock::now() > Limit)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

/// A ThriftPeerNetwork with callbacks that record their arguments.
struct Node {
  Node(const std::string &VM, const std::string &Address,
       const std::vector<PeerInfo> &Seeds)
      : m_Reservations({VM, 1}) {
    PeerCallbacks Callbacks;
    Callbacks.m_Post = [this](const Event &Value) {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (auto *Summary = std::get_if<PeersChanged>(&Value))
        m_Summary = *Summary;
      if (std::get_if<EndpointLeaving>(&Value))
        ++m_LeavingCount;
      if (std::get_if<LoadReported>(&Value))
        ++m_LoadCount;
    };
    Callbacks.m_ConfigurationVersion = [this] { return m_Version.load(); };
    Callbacks.m_NewerConfiguration = [this](const std::string &,
                                            ConfigurationVersion Seen) {
      m_NewerVersion = Seen;
    };
    Callbacks.m_HeadJson = [] { return std::string("head"); };
    Callbacks.m_Chunk = [](const std::string &Hash) { return "of " + Hash; };
    Callbacks.m_Outstanding = [] {
      return std::map<std::string, std::uint32_t>{{"account", 3}};
    };
    Callbacks.m_RequestState = [](RequestNumber Number, std::uint32_t) {
      RemoteAnswer Answer;
      Answer.m_State = RemoteAnswer::State::Ended;
      Answer.m_Outcome = Outcome::Completed;
      Answer.m_Body = std::to_string(Number);
      return Answer;
    };
    Callbacks.m_KeyState = [](const std::string &, const std::string &) {
      return RemoteAnswer();
    };
    Callbacks.m_TakeReservation =
        [this](const std::string &Account, const std::string &Key,
               const std::string &Body, const std::string &Holder) {
          return m_Reservations.take(currentTime(), Account, Key, Body, Holder);
        };
    Callbacks.m_EndReservation = [this](const std::string &Key,
                                        ClaimFinalState) {
      m_Reservations.complete(Key);
    };
    PeerInfo Self;
    Self.m_Identity = {VM, 1};
    Self.m_Address = Address;
    Self.m_FailureDomain = "fd-a";
    m_Network = std::make_unique<ThriftPeerNetwork>(Self, Seeds, currentTime,
                                                    Callbacks);
    m_Network->start();
  }

  std::uint32_t livePeers() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Summary.m_LivePeers;
  }

  std::mutex m_Mutex;
  PeersChanged m_Summary;
  ReservationTable m_Reservations;
  std::atomic<int> m_LeavingCount{0};
  std::atomic<int> m_LoadCount{0};
  std::atomic<ConfigurationVersion> m_Version{1};
  std::atomic<ConfigurationVersion> m_NewerVersion{0};
  std::unique_ptr<ThriftPeerNetwork> m_Network;
};

PeerInfo seed(const std::string &VM, const std::string &Address) {
  PeerInfo Info;
  Info.m_Identity.m_VM = VM;
  Info.m_Address = Address;
  Info.m_FailureDomain = "fd-a";
  return Info;
}

} // namespace

TEST_GROUP(ThriftPeerNetwork) {
  std::string m_FirstAddress = freeAddress();
  std::string m_SecondAddress = freeAddress();
};

// Guards against updates that do not reach the other VM, and against queries
// that a wrong incarnation answers.
TEST(ThriftPeerNetwork, ForwardsUpdatesAndAnswersQueries) {
  Node First("vm-1", m_FirstAddress, {seed("vm-2", m_SecondAddress)});
  // The second VM has no seeds and learns of the first from its heartbeat.
  Node Second("vm-2", m_SecondAddress, {});
  CHECK(eventually(
      [&] { return First.livePeers() == 1 && Second.livePeers() == 1; }));
  LONGS_EQUAL(3, Second.m_Summary.m_PeerOutstanding["account"]);

  Second.m_Network->announceLeaving("endpoint", "7");
  CHECK(eventually([&] { return First.m_LeavingCount == 1; }));
  LoadReported Report;
  Report.m_Endpoint = "endpoint";
  Report.m_ReportedAt = currentTime();
  First.m_Network->noteLoad(Report);
  CHECK(eventually([&] { return Second.m_LoadCount == 1; }));
  First.m_Version = 2;
  CHECK(eventually([&] { return Second.m_NewerVersion == 2; }));

  STRCMP_EQUAL("head", Second.m_Network->fetchHead("vm-1")->c_str());
  STRCMP_EQUAL("of x", Second.m_Network->fetchChunk("vm-1", "x")->c_str());
  auto Answer = Second.m_Network->requestState({{"vm-1", 1}, 42}, 0);
  STRCMP_EQUAL("42", Answer->m_Body.c_str());
  Answer = Second.m_Network->requestState({{"vm-1", 9}, 42}, 0);
  CHECK(Answer->m_State == RemoteAnswer::State::Absent);
  CHECK_FALSE(Second.m_Network->fetchHead("vm-3").has_value());
}

// Guards against a VM answering that the call of a reserved key was not run
// when it does not know what its earlier incarnation ran.
TEST(ThriftPeerNetwork, ReservationOfAnEarlierIncarnationIsNotAnswered) {
  Node First("vm-1", m_FirstAddress, {});
  Node Second("vm-2", m_SecondAddress, {seed("vm-1", m_FirstAddress)});
  RequestClaim Request;
  Request.m_IdempotencyKey = "rsv-vm-1-9-1";
  OwnedId Id = *parseOwnedId(ReservationPrefix, Request.m_IdempotencyKey);
  CHECK_FALSE(Second.m_Network->takeReservation(Id, Request).has_value());
}

// Guards against two VMs running the call of one reservation.
TEST(ThriftPeerNetwork, ReservationIsTakenOnceAcrossVMs) {
  Node First("vm-1", m_FirstAddress, {seed("vm-2", m_SecondAddress)});
  Node Second("vm-2", m_SecondAddress, {seed("vm-1", m_FirstAddress)});
  RequestClaim Request;
  Request.m_Account = "account";
  Request.m_IdempotencyKey =
      *First.m_Reservations.issue(currentTime(), "account");
  Request.m_BodySha256 = "body";
  OwnedId Id = *parseOwnedId(ReservationPrefix, Request.m_IdempotencyKey);
  auto Taken = Second.m_Network->takeReservation(Id, Request);
  CHECK(Taken->m_PreviousState == ReservationState::Unused);
  Taken = Second.m_Network->takeReservation(Id, Request);
  CHECK(Taken->m_PreviousState == ReservationState::Taken);
  STRCMP_EQUAL("vm-2", Taken->m_Holder.c_str());
  Second.m_Network->endReservation(Id, Request.m_IdempotencyKey,
                                   ClaimFinalState::Completed);
  Taken = Second.m_Network->takeReservation(Id, Request);
  CHECK(Taken->m_PreviousState == ReservationState::Completed);
}

PARSLEYRING_TEST_MAIN
