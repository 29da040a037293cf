#include "routing/EndpointHealth.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(EndpointHealth) {
  EndpointHealth m_Health;
  Time m_Start{1000s};
};

// Guards against a request each second to an endpoint that keeps failing, and
// against a backoff without limit.
TEST(EndpointHealth, BackoffDoublesUpToItsLimit) {
  Time Now = m_Start;
  for (Duration Expected : {1s, 2s, 4s, 8s, 16s, 16s}) {
    m_Health.noteFailure(Now, Now);
    CHECK_FALSE(m_Health.canServe(Now + Expected - 1us));
    Now += Expected;
    CHECK(m_Health.canServe(Now));
    CHECK(m_Health.isUnavailable());
    m_Health.noteStarted(7);
  }
}

// Guards against counting one failure of an endpoint once per stream, and
// against ending the backoff by the success of a stream that started earlier.
TEST(EndpointHealth, OlderAttemptsDoNotCount) {
  Time Sent = m_Start - 1s;
  m_Health.noteFailure(m_Start, Sent);
  m_Health.noteFailure(m_Start + 1ms, Sent);
  m_Health.noteSuccess(Sent);
  CHECK(m_Health.isUnavailable());
  CHECK(m_Health.canServe(m_Start + 1s));
  m_Health.noteSuccess(m_Start + 1s);
  m_Health.noteFailure(m_Start + 2s, Sent);
  CHECK_FALSE(m_Health.isUnavailable());
}

// Guards against a burst of requests to an endpoint that is probably still
// down, and against a lost probe that keeps the endpoint unused forever.
TEST(EndpointHealth, OneProbeAtATime) {
  m_Health.noteFailure(m_Start, m_Start - 1s);
  Time Due = m_Start + 1s;
  m_Health.noteStarted(7);
  CHECK_FALSE(m_Health.canServe(Due));
  m_Health.noteEnded(6);
  CHECK_FALSE(m_Health.canServe(Due));
  m_Health.noteEnded(7);
  CHECK(m_Health.canServe(Due));
  m_Health.noteStarted(8);
  m_Health.noteTimeout(Due, 8);
  CHECK_FALSE(m_Health.canServe(Due + 2s - 1us));
  CHECK(m_Health.canServe(Due + 2s));
}

// Guards against extending a quarantine once per stream for the same fault, and
// against a wrong length: 30 s, doubled up to 10 min, 30 s again after 10 min
// without quarantine.
TEST(EndpointHealth, QuarantineDoublesAndResets) {
  Time Now = m_Start;
  for (Duration Expected : {30s, 60s, 120s, 240s, 480s, 600s, 600s}) {
    CHECK(m_Health.quarantine(Now, QuarantineReason::WrongResult) == Expected);
    CHECK(m_Health.quarantine(Now + 1s, QuarantineReason::WrongResult) ==
          Expected - 1s);
    CHECK_FALSE(m_Health.canServe(Now + Expected - 1us));
    Now += Expected;
    CHECK(m_Health.canServe(Now));
  }
  CHECK(m_Health.quarantine(Now + 599s, QuarantineReason::WrongResult) == 600s);
  CHECK(m_Health.quarantine(Now + 599s + 1200s,
                            QuarantineReason::WrongResult) == 30s);
}

// Guards against a restarted endpoint that stays unused, and against a faulty
// one that avoids longer quarantines by restarting.
TEST(EndpointHealth, RestartEndsBackoffAndQuarantine) {
  m_Health.noteFailure(m_Start, m_Start - 1s);
  m_Health.quarantine(m_Start, QuarantineReason::WrongResult);
  m_Health.noteRestarted(m_Start + 1s);
  CHECK(m_Health.canServe(m_Start + 1s));
  CHECK(m_Health.quarantine(m_Start + 2s, QuarantineReason::WrongResult) ==
        60s);
}

PARSLEYRING_TEST_MAIN
