#include "gateway/ConnectionProbe.h"

#include "support/FreePort.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

TEST_GROUP(ConnectionProbe){
    ProbeResult probe(const std::string &Address,
                      Duration Timeout){boost::asio::io_context Loop;
std::optional<ProbeResult> Result;
probeConnection(Loop, Address, Timeout,
                [&](ProbeResult Given) { Result = Given; });
Loop.run();
CHECK(Result.has_value());
return *Result;
}
}
;

// Guards against an endpoint that still runs and is taken for one that has
// crashed, and the other way round.
TEST(ConnectionProbe, TellsWhetherAProcessListens) {
  ScriptedServer Running("", ScriptedServer::End::KeepOpen);
  CHECK(probe(Running.address(), 2s) == ProbeResult::Accepted);
  CHECK(probe(refusingAddress(), 2s) == ProbeResult::Refused);
}

// Guards against an endpoint at its limit of connections, which accepts and
// resets at once, that is taken for one that has crashed.
TEST(ConnectionProbe, ResetIsNoRefusal) {
  boost::asio::io_context EndpointLoop;
  tcp::acceptor Acceptor(EndpointLoop,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  boost::asio::io_context Loop;
  std::optional<ProbeResult> Result;
  probeConnection(
      Loop, "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()), 2s,
      [&](ProbeResult Given) { Result = Given; });
  // The reset arrives before the loop runs.
  tcp::socket Socket = Acceptor.accept();
  Socket.set_option(boost::asio::socket_base::linger(true, 0));
  Socket.close();
  Loop.run();
  CHECK(Result == ProbeResult::Accepted);
}

// Guards against an endpoint that is cut off and is taken for one that has
// crashed.
TEST(ConnectionProbe, NoAnswerIsNoRefusal) {
  // The time is over before the connection can be opened.
  ScriptedServer Running("", ScriptedServer::End::KeepOpen);
  CHECK(probe(Running.address(), Duration(-1)) != ProbeResult::Refused);
  CHECK(probe("no address", 1s) == ProbeResult::Unknown);
}

PARSLEYRING_TEST_MAIN
