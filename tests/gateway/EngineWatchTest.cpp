#include "gateway/EngineWatch.h"

#include "support/TestMain.h"

#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

using namespace parsleyring;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// An engine that accepts connections on a loopback port and sends nothing.
class FakeEngine {
public:
  explicit FakeEngine(asio::io_context &Loop) : m_Acceptor(Loop) {
    listen({asio::ip::make_address("127.0.0.1"), 0});
    m_Address = m_Acceptor.local_endpoint();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Address.port());
  }
  int accepted() const { return m_Accepted; }
  std::size_t receivedBytes() {
    std::size_t Sum = 0;
    for (tcp::socket &Socket : m_Sockets)
      Sum += Socket.available();
    return Sum;
  }
  /// Resets each connection as soon as it is accepted.
  void beginResetting() { m_IsResetting = true; }
  void closeConnections() { m_Sockets.clear(); }
  void stopListening() { m_Acceptor.close(); }
  void listenAgain() { listen(m_Address); }

private:
  void listen(const tcp::endpoint &Address) {
    m_Acceptor.open(Address.protocol());
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_Acceptor.bind(Address);
    m_Acceptor.listen();
    accept();
  }
  void accept() {
    m_Acceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          ++m_Accepted;
          if (m_IsResetting) {
            Socket.set_option(asio::socket_base::linger(true, 0));
            // The destructor would not reset it.
            Socket.close();
          } else {
            m_Sockets.push_back(std::move(Socket));
          }
          accept();
        });
  }

  tcp::acceptor m_Acceptor;
  tcp::endpoint m_Address;
  std::vector<tcp::socket> m_Sockets;
  bool m_IsResetting = false;
  int m_Accepted = 0;
};

} // namespace

// The time of the watch is the test's own, so that connections become old
// without a wait.
TEST_GROUP(EngineWatch) {
  asio::io_context m_Loop;
  Time m_Now{1000s};
  std::map<std::string, FleetTable::Handle> m_Endpoints;
  ConnectionPool m_Pool{m_Loop};
  std::vector<std::string> m_Crashed;
  std::unique_ptr<EngineWatch> m_Watch;

  void setup() override {
    m_Watch = std::make_unique<EngineWatch>(
        m_Loop, m_Pool, "a", [this] { return m_Now; },
        [this](const FleetTable::Handle &Engine) {
          m_Crashed.push_back(Engine->m_Entry.m_Id);
        });
  }
  void teardown() override {
    // Handlers of the loop hold connections.
    m_Watch->update({}, false);
    m_Loop.restart();
    m_Loop.poll();
    m_Watch.reset();
  }

  void add(const std::string &Id, const FakeEngine &Engine) {
    auto Added = std::make_shared<FleetEndpoint>();
    Added->m_Entry.m_Id = Id;
    Added->m_Entry.m_Address = Engine.address();
    Added->m_Entry.m_FailureDomain = "a";
    Added->m_Entry.m_Layers = {0, 10};
    m_Endpoints[Id] = Added;
  }
  void update(bool IsOn = true) {
    EngineWatchPolicy::Engines Endpoints;
    for (const auto &[Id, Endpoint] : m_Endpoints)
      Endpoints.push_back(Endpoint);
    m_Watch->update(Endpoints, IsOn);
  }
  /// Lets the time of the watch pass, and runs what is due.
  void pass(Duration Period) {
    m_Now += Period;
    update();
    runUntil([] { return false; }, 20ms);
  }
  /// Runs the loop until Condition is true, or for Limit.
  bool runUntil(const std::function<bool()> &Condition, Duration Limit = 20s) {
    auto End = std::chrono::steady_clock::now() + Limit;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      m_Loop.restart();
      m_Loop.run_one_for(1ms);
    }
    return Condition();
  }
  /// Waits for a connection to each engine and makes it old.
  void openAll() {
    update();
    CHECK(runUntil([this] { return m_Watch->size() == m_Endpoints.size(); }));
    pass(10s);
  }
};

// Guards against a crash that is not seen, and against bytes on the
// connections, which an engine would take for a request.
TEST(EngineWatch, CrashIsReportedOnce) {
  FakeEngine Crashing(m_Loop);
  FakeEngine Sound(m_Loop);
  add("crashing", Crashing);
  add("sound", Sound);
  openAll();
  LONGS_EQUAL(0, Crashing.receivedBytes());
  LONGS_EQUAL(0, Sound.receivedBytes());
  Crashing.stopListening();
  Crashing.closeConnections();
  CHECK(runUntil([this] {
    m_Now += 1ms;
    return !m_Crashed.empty();
  }));
  for (int Round = 0; Round < 10; ++Round)
    pass(1s);
  LONGS_EQUAL(1, m_Crashed.size());
  STRCMP_EQUAL("crashing", m_Crashed[0].c_str());
  LONGS_EQUAL(1, m_Watch->size());
}

// Guards against an engine that only closes idle connections and is taken to
// have crashed.
TEST(EngineWatch, ClosedIdleConnectionIsReplaced) {
  FakeEngine Engine(m_Loop);
  add("e", Engine);
  openAll();
  for (int Round = 2; Round < 5; ++Round) {
    Engine.closeConnections();
    CHECK(runUntil([&] {
      m_Now += 1ms;
      return Engine.accepted() == Round && m_Watch->size() == 1;
    }));
    pass(10s);
  }
  CHECK(m_Crashed.empty());
}

// Guards against an engine at its limit of connections that is taken to have
// crashed.
TEST(EngineWatch, EngineThatResetsAtOnceRuns) {
  FakeEngine Engine(m_Loop);
  add("e", Engine);
  openAll();
  Engine.beginResetting();
  Engine.closeConnections();
  for (int Round = 0; Round < 40; ++Round)
    pass(500ms);
  CHECK(Engine.accepted() > 2);
  CHECK(m_Crashed.empty());
}

// Guards against a reset that arrives before this VM knows that it is
// connected, and is taken for a refusal.
TEST(EngineWatch, ResetWhileConnectingIsNoRefusal) {
  asio::io_context EngineLoop;
  FakeEngine Engine(EngineLoop);
  add("e", Engine);
  openAll();
  EngineLoop.poll();
  LONGS_EQUAL(1, Engine.accepted());
  Engine.beginResetting();
  Engine.closeConnections();
  CHECK(runUntil([this] { return m_Watch->size() == 0; }));
  for (int Round = 0; Round < 20; ++Round) {
    m_Now += 500ms;
    update();
    EngineLoop.restart();
    EngineLoop.poll();
    runUntil([] { return false; }, 5ms);
  }
  CHECK(Engine.accepted() > 2);
  CHECK(m_Crashed.empty());
}

// Guards against an engine that opens its listener anew and is taken to have
// crashed.
TEST(EngineWatch, EngineThatOnlyStopsListeningRuns) {
  FakeEngine Engine(m_Loop);
  add("e", Engine);
  openAll();
  Engine.stopListening();
  for (int Round = 0; Round < 5; ++Round)
    pass(1s);
  LONGS_EQUAL(1, m_Watch->size());
  Engine.listenAgain();
  Engine.closeConnections();
  CHECK(runUntil([&] {
    m_Now += 1ms;
    return Engine.accepted() == 2 && m_Watch->size() == 1;
  }));
  CHECK(m_Crashed.empty());
}

// Guards against watch connections that are kept while requests lack
// connections, and against a count that forgets them.
TEST(EngineWatch, GivesItsConnectionsUpFirst) {
  std::vector<std::unique_ptr<FakeEngine>> Engines;
  for (int Index = 0; Index < 4; ++Index) {
    Engines.push_back(std::make_unique<FakeEngine>(m_Loop));
    add("e" + std::to_string(Index), *Engines.back());
  }
  m_Pool.setMaxOpen(16);
  openAll();
  LONGS_EQUAL(4, m_Pool.open());
  std::vector<std::shared_ptr<HttpConnection>> Requests;
  for (int Index = 0; Index < 14; ++Index)
    Requests.push_back(m_Pool.acquire(Engines[0]->address(), 1s, m_Now));
  LONGS_EQUAL(2, m_Watch->size());
  LONGS_EQUAL(16, m_Pool.open());
  // They do not return while connections are short.
  for (int Round = 0; Round < 10; ++Round)
    pass(1s);
  LONGS_EQUAL(2, m_Watch->size());
  Requests.clear();
  CHECK(runUntil([this] {
    pass(1s);
    return m_Watch->size() == 4;
  }));
  CHECK(m_Crashed.empty());
}

// Guards against connections that stay open when the watch ends.
TEST(EngineWatch, ClosesItsConnections) {
  FakeEngine Engine(m_Loop);
  add("e", Engine);
  openAll();
  LONGS_EQUAL(1, m_Pool.open());
  update(false);
  LONGS_EQUAL(0, m_Watch->size());
  LONGS_EQUAL(0, m_Pool.open());
  openAll();
  m_Endpoints["e"]->m_HasStatedLeaving = true;
  update();
  LONGS_EQUAL(0, m_Pool.open());
}

PARSLEYRING_TEST_MAIN
