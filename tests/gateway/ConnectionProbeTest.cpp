#include "gateway/ConnectionProbe.h"

#include "support/FreePort.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

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

// Guards against an endpoint that is cut off and is taken for one that has
// crashed.
TEST(ConnectionProbe, NoAnswerIsNoRefusal) {
  // The time is over before the connection can be opened.
  ScriptedServer Running("", ScriptedServer::End::KeepOpen);
  CHECK(probe(Running.address(), Duration(-1)) != ProbeResult::Refused);
  CHECK(probe("no address", 1s) == ProbeResult::Unknown);
}

PARSLEYRING_TEST_MAIN
