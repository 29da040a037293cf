#include "fleet/FleetTable.h"

#include "support/TestMain.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

// The most requests that the platform allows in four seconds.
static int maxRequestsInWindow(double Limit) {
  return static_cast<int>(1.5 * Limit * 4 + 5);
}

TEST_GROUP(LimitShare) {
  std::vector<FleetEndpoint> m_VMs; ///< The endpoint as each VM knows it.
  std::vector<double> m_Reports;    ///< Demand that each VM reported last.
  std::vector<Time> m_Sent;
  int m_Needed = 0; ///< Requests of callers from 5 s after the statement.
  /// Requests per second that callers of a VM need at a time since the start.
  std::function<double(std::size_t, Duration)> m_Need;
  /// False if the reports of a VM do not reach the others, nor theirs that VM.
  std::function<bool(std::size_t)> m_IsConnected = [](std::size_t) {
    return true;
  };
  /// The limit that the endpoint states later, and the time of that statement
  /// since the start.
  double m_LaterLimit = 0;
  std::optional<Duration> m_LaterStatedAt;
  const Time m_Start{1000s};
  std::mt19937 m_Random{7};

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  void exchangeReports(Time Now) {
    double Sum = 0;
    for (std::size_t VM = 0; VM < m_VMs.size(); ++VM) {
      m_Reports[VM] = m_VMs[VM].m_LimitShare.demand(Now);
      Sum += m_IsConnected(VM) ? m_Reports[VM] : 0;
    }
    for (std::size_t VM = 0; VM < m_VMs.size(); ++VM)
      m_VMs[VM].m_PeerDemand = m_IsConnected(VM) ? Sum - m_Reports[VM] : 0;
  }
  LimitUsers users(std::size_t VM) const {
    LimitUsers Users;
    Users.m_VMs = m_VMs.size();
    double Known = 1;
    for (std::size_t Other = 0; Other < m_VMs.size(); ++Other)
      Known += Other != VM && m_IsConnected(VM) && m_IsConnected(Other);
    Users.m_LoadFactor = static_cast<double>(m_VMs.size()) / Known;
    return Users;
  }
  /// Runs VMs for Length; the endpoint states Limit from StatedAt on, and the
  /// VMs know it 0.2 s later.
  void simulate(std::size_t VMs, double Limit, Duration StatedAt,
                Duration Length) {
    m_VMs.assign(VMs, FleetEndpoint());
    m_Reports.assign(VMs, 0);
    const Duration Step = 5ms;
    for (Duration At{}; At < Length; At += Step) {
      Time Now = m_Start + At;
      bool IsLimited = At >= StatedAt + 200ms;
      if (m_LaterStatedAt && At == *m_LaterStatedAt + 200ms)
        for (FleetEndpoint &Endpoint : m_VMs)
          Endpoint.m_Limit.noteStated(m_LaterLimit, Now);
      if (At == StatedAt + 200ms)
        for (FleetEndpoint &Endpoint : m_VMs)
          Endpoint.m_Limit.noteStated(Limit, Now);
      if (IsLimited && At % Duration(250ms) == Duration::zero())
        exchangeReports(Now);
      for (std::size_t VM = 0; VM < VMs; ++VM) {
        double Expected =
            m_Need(VM, At) * std::chrono::duration<double>(Step).count();
        if (random() >= Expected)
          continue;
        m_Needed += At >= StatedAt + 5s;
        FleetEndpoint &Endpoint = m_VMs[VM];
        bool IsAllowed = Endpoint.isWithinLimit(users(VM), random(), Now);
        Endpoint.m_LimitShare.noteDemand(Now);
        if (!IsAllowed)
          continue;
        Endpoint.m_LimitShare.noteSent();
        m_Sent.push_back(Now);
      }
    }
  }
  int sentBetween(Time From, Time Until) const {
    return static_cast<int>(
        std::count_if(m_Sent.begin(), m_Sent.end(),
                      [&](Time At) { return At > From && At <= Until; }));
  }
  int mostInWindow(Duration From) const {
    int Most = 0;
    for (Time End : m_Sent)
      if (End >= m_Start + From)
        Most = std::max(Most, sentBetween(End - 4s, End));
    return Most;
  }
  /// Checks the windows that end later than From.
  void checkWindows(double Limit, Duration From) const {
    std::string Text = std::to_string(mostInWindow(From)) +
                       " in a window under a limit of " + std::to_string(Limit);
    CHECK_TEXT(mostInWindow(From) <= maxRequestsInWindow(Limit), Text.c_str());
  }
  void checkSent(double MinPerSecond, Duration From, Duration Until) const {
    double Sent = sentPerSecond(From, Until);
    std::string Text = std::to_string(Sent) + " per second where at least " +
                       std::to_string(MinPerSecond) + " can be sent";
    CHECK_TEXT(Sent >= MinPerSecond, Text.c_str());
  }
  double sentPerSecond(Duration From, Duration Until) const {
    return sentBetween(m_Start + From, m_Start + Until) /
           std::chrono::duration<double>(Until - From).count();
  }
};

// Guards against VMs that each keep to the limit, but exceed it together, and
// against an endpoint that gets much less than it accepts.
TEST(LimitShare, AllVMsTogetherUseTheLimit) {
  for (double Limit : {1.0, 4.0, 10.0, 50.0}) {
    m_Sent.clear();
    m_Need = [Limit](std::size_t, Duration) { return 2 * Limit / 7; };
    simulate(7, Limit, 5s, 40s);
    checkWindows(Limit, 8s);
    checkSent(0.7 * Limit, 8s, 40s);
  }
}

// Guards against shares of less than one request in four seconds that are
// rounded up to one, or down to none.
TEST(LimitShare, ManyVMsUseASmallLimit) {
  for (double Limit : {0.5, 1.0, 5.0}) {
    m_Sent.clear();
    m_Need = [Limit](std::size_t, Duration) { return 4 * Limit / 300; };
    simulate(300, Limit, 5s, 60s);
    checkWindows(Limit, 8s);
    checkSent(0.5 * Limit, 20s, 60s);
  }
}

// Guards against VMs that get no credit for some of their requests: with a
// request in ten seconds, most of the limit would not be used.
TEST(LimitShare, ManyVMsUseMostOfTheLimit) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed)
    for (std::size_t VMs : {80, 300})
      for (double Limit : {8.0, 15.0}) {
        m_Random.seed(Seed);
        m_Sent.clear();
        m_Need = [Limit, VMs](std::size_t, Duration) {
          return 1.5 * Limit / static_cast<double>(VMs);
        };
        simulate(VMs, Limit, 5s, 60s);
        checkWindows(Limit, 8s);
        checkSent(0.7 * Limit, 20s, 60s);
      }
}

// Guards against a limit that is divided equally, although the callers of one
// VM need nearly all of it.
TEST(LimitShare, VMWithMostOfTheRequestsGetsMostOfTheLimit) {
  m_Need = [](std::size_t VM, Duration) { return VM == 0 ? 15.0 : 0.1; };
  simulate(8, 8, 5s, 40s);
  checkWindows(8, 8s);
  checkSent(0.7 * 8, 10s, 40s);
}

// Guards against requests that are held back although all VMs together need
// less than the endpoint accepts.
TEST(LimitShare, NothingIsHeldBackBelowTheLimit) {
  m_Need = [](std::size_t, Duration) { return 0.1; };
  simulate(30, 6, 5s, 40s);
  checkSent(0.95 * m_Needed / 30, 10s, 40s);
  checkWindows(6, 8s);
}

// Guards against a sudden rise of the requests on all VMs, before they have
// told each other.
TEST(LimitShare, SuddenRiseStaysNearTheLimit) {
  m_Need = [](std::size_t, Duration At) { return At < 20s ? 0.5 : 5.0; };
  simulate(8, 6, 5s, 40s);
  checkWindows(6, 8s);
}

// Guards against the credit that many VMs save while they need less than the
// limit, and that they all use when their requests become more.
TEST(LimitShare, SavedCreditOfManyVMsIsBounded) {
  for (double Limit : {5.0, 10.0, 30.0}) {
    m_Sent.clear();
    m_Need = [Limit](std::size_t, Duration At) {
      return (At < 30s ? 0.6 : 1.8) * Limit / 300;
    };
    simulate(300, Limit, 5s, 50s);
    checkWindows(Limit, 8s);
    checkSent(0.6 * Limit, 34s, 50s);
  }
}

// Guards against the same when the endpoint accepts less than before.
TEST(LimitShare, LimitOfManyVMsFalls) {
  m_Need = [](std::size_t, Duration) { return 10.0 / 300; };
  m_LaterStatedAt = 30s;
  for (unsigned Seed = 1; Seed <= 5; ++Seed)
    for (double LaterLimit : {1.0, 4.0, 8.0}) {
      m_Random.seed(Seed);
      m_Sent.clear();
      m_LaterLimit = LaterLimit;
      simulate(300, 15, 5s, 60s);
      // The windows that begin when all VMs know the lower limit.
      checkWindows(LaterLimit, 34200ms);
      checkSent(0.5 * LaterLimit, 38s, 60s);
    }
}

// Guards against VMs that are cut off from each other and each take the whole
// limit.
TEST(LimitShare, VMsCutOffFromEachOtherKeepTheLimit) {
  m_Need = [](std::size_t, Duration) { return 3.0; };
  m_IsConnected = [](std::size_t VM) { return VM >= 4; };
  simulate(8, 8, 5s, 40s);
  checkWindows(8, 8s);
  checkSent(0.5 * 8, 10s, 40s);
}

// Guards against a limit far below the usual load that is exceeded by what was
// sent before it was known.
TEST(LimitShare, RequestsBeforeTheLimitCount) {
  m_Need = [](std::size_t, Duration) { return 5.0; };
  for (unsigned Seed = 1; Seed <= 10; ++Seed)
    for (double Limit : {1.0, 3.0, 11.0}) {
      m_Random.seed(Seed);
      m_Sent.clear();
      simulate(7, Limit, 5s, 30s);
      checkWindows(Limit, 8s);
      checkSent(0.5 * Limit, 10s, 30s);
    }
}

// Guards against an endpoint that gets nothing under a limit of zero, so that
// nothing would show that the limit has ended, and against huge limits.
TEST(LimitShare, ExtremeLimits) {
  m_Need = [](std::size_t, Duration) { return 2.0; };
  simulate(8, 0, 5s, 60s);
  // Later windows have no requests from before the limit.
  checkWindows(0, 9200ms);
  checkSent(0.05, 10s, 60s);
  m_Sent.clear();
  simulate(8, 1e300, 5s, 20s);
  checkSent(14, 6s, 20s);
}

PARSLEYRING_TEST_MAIN
