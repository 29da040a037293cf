#include "gateway/ConnectionPool.h"

#include "support/RawHttpServer.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static constexpr const char *Response =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

TEST_GROUP(ConnectionPool) {
  boost::asio::io_context m_Loop;
  RawHttpServer m_Server{[](const RawRequest &) { return Response; }};
  RawHttpServer m_Other{[](const RawRequest &) { return Response; }};
  ConnectionPool m_Pool{m_Loop};

  std::shared_ptr<HttpConnection> acquire(const RawHttpServer &Server,
                                          Time Now) {
    return m_Pool.acquire(Server.address(), 4s, Now);
  }
  /// Runs an exchange that pauses reading while the body arrives.
  void exchange(HttpConnection & Connection) {
    std::optional<ExchangeEnd> Result;
    ExchangeHandlers Handlers;
    Handlers.m_OnBody = [&](std::string_view) { Connection.pauseReading(); };
    Handlers.m_OnEnd = [&](ExchangeEnd End) { Result = End; };
    Connection.send("GET / HTTP/1.1\r\nHost: host\r\n\r\n", nullptr, 5s,
                    std::move(Handlers));
    m_Loop.restart();
    while (!Result && m_Loop.run_one_for(10s) > 0)
      continue;
    CHECK(Result == ExchangeEnd::Complete);
  }
};

// Guards against a process that runs out of descriptors since connections that
// nobody uses hold them.
TEST(ConnectionPool, LongestIdleConnectionIsClosedAtTheLimit) {
  m_Pool.setMaxOpen(2);
  Time Start = Time() + 100s;
  auto First = acquire(m_Server, Start);
  auto Second = acquire(m_Other, Start);
  exchange(*First);
  exchange(*Second);
  m_Pool.release(Second, Start);
  m_Pool.release(First, Start + 1ms);
  LONGS_EQUAL(2, m_Pool.open());
  LONGS_EQUAL(2, m_Pool.size());
  // The idle connection to the same server is reused.
  POINTERS_EQUAL(First.get(), acquire(m_Server, Start + 2ms).get());
  CHECK(Second->isConnected());
  // A further one takes the place of the idle one.
  auto Third = acquire(m_Server, Start + 2ms);
  CHECK(!Second->isConnected());
  CHECK(First->isConnected());
  LONGS_EQUAL(0, m_Pool.size());
  LONGS_EQUAL(2, m_Pool.open());
}

// Guards against requests that get no connection since others are running.
TEST(ConnectionPool, RunningConnectionsStayOpenAboveTheLimit) {
  m_Pool.setMaxOpen(1);
  Time Now = Time() + 100s;
  auto First = acquire(m_Server, Now);
  auto Second = acquire(m_Server, Now);
  exchange(*First);
  exchange(*Second);
  CHECK(First->isConnected());
  LONGS_EQUAL(2, m_Pool.open());
  m_Pool.release(First, Now);
  CHECK(!First->isConnected());
  CHECK(Second->isConnected());
  LONGS_EQUAL(1, m_Pool.open());
  m_Pool.release(Second, Now);
  LONGS_EQUAL(1, m_Pool.size());
}

// Guards against an exchange without an end on a connection whose previous
// response had its reading paused.
TEST(ConnectionPool, PausedReadingEndsWithItsExchange) {
  Time Now = Time() + 100s;
  auto Connection = acquire(m_Server, Now);
  exchange(*Connection);
  m_Pool.release(Connection, Now);
  POINTERS_EQUAL(Connection.get(), acquire(m_Server, Now).get());
  exchange(*Connection);
  LONGS_EQUAL(1, m_Server.connections());
}

PARSLEYRING_TEST_MAIN
