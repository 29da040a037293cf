#include "admission/LimitedWait.h"

#include "admission/AdmissionQueue.h"

#include "support/TestMain.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(LimitedWait) {
  const Time m_Start{1000s};
  const Duration m_MaxWait = 250ms;
  FleetTable::Handle m_Engine = std::make_shared<FleetEndpoint>();
  AdmissionQueue m_Queue;
  std::mt19937 m_Random{7};
  Time m_Now = m_Start;
  int m_Sent = 0;
  int m_Refused = 0;
  int m_Waited = 0;
  int m_RefusedLate = 0;

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  LimitUsers users() const {
    LimitUsers Users;
    Users.m_VMs = 3;
    return Users;
  }
  void send() {
    ++m_Sent;
    m_Engine->m_LimitShare.noteSent();
  }
  void receive(const std::string &Account) {
    const Time Now = m_Now;
    bool IsAllowed = m_Engine->isWithinLimit(users(), random(), Now);
    m_Engine->m_LimitShare.noteDemand(Now);
    if (IsAllowed && m_Queue.empty()) {
      send();
      return;
    }
    auto Waiting = std::make_shared<LimitedWait>();
    AdmissionQueue::WaitingRequest Queued;
    Queued.m_Account = Account;
    Queued.m_Until = Now + m_MaxWait;
    Queued.m_TrySend = [this, Waiting] {
      if (!Waiting->allows(*m_Engine, users(), random(), m_Now))
        return false;
      send();
      return true;
    };
    Queued.m_OnDropped = [this] { ++m_RefusedLate; };
    auto Capacity = LimitedCapacity::after(m_Queue.size(), {m_Engine}, Now);
    if (!Waiting->begin(Capacity, Queued.m_Until, Now) ||
        m_Queue.add(Now, std::move(Queued)) == 0) {
      ++m_Refused;
      return;
    }
    ++m_Waited;
  }
  /// Runs one VM for Length with a request each Interval, and with the demand
  /// that the others report at a time since the start.
  void simulate(double Limit, Duration Interval, Duration Length,
                const std::function<double(Duration)> &PeerDemand) {
    m_Engine->m_Limit.noteStated(Limit, m_Start);
    int Number = 0;
    for (Duration At{}; At < Length; At += 5ms) {
      m_Now = m_Start + At;
      m_Engine->m_PeerDemand = PeerDemand(At);
      if (At % Interval == Duration::zero())
        receive(++Number % 3 == 0 ? "small" : "large");
      if (At % Duration(40ms) == Duration::zero())
        m_Queue.tick(m_Now);
    }
  }
  void check(int MaxSent) const {
    std::string Text = std::to_string(m_Sent) + " sent, at most " +
                       std::to_string(MaxSent) + "; " +
                       std::to_string(m_Waited) + " waited, of which " +
                       std::to_string(m_RefusedLate) + " were refused; " +
                       std::to_string(m_Refused) + " refused at once";
    CHECK_TEXT(m_Waited >= 10, Text.c_str());
    CHECK_TEXT(m_Refused >= 10, Text.c_str());
    CHECK_TEXT(m_RefusedLate == 0, Text.c_str());
    CHECK_TEXT(m_Sent <= MaxSent, Text.c_str());
  }
};

// Guards against requests that wait for credit and get none, because the share
// of this VM becomes smaller when others report a higher demand.
TEST(LimitedWait, WaitingRequestIsSentWhenTheShareFalls) {
  simulate(4, 50ms, 40s, [](Duration At) {
    return At % Duration(500ms) < Duration(250ms) ? 28.0 : 60.0;
  });
  double MeanShare = (20 / (20 + 28.0) + 20 / (20 + 60.0)) / 2;
  check(static_cast<int>(40 * 4 * MeanShare));
}

// Guards against the same because a later request of another account is sent
// first and takes the credit.
TEST(LimitedWait, WaitingRequestIsSentWhenAnotherAccountGoesFirst) {
  simulate(30, 20ms, 40s, [](Duration) { return 50.0; });
  check(40 * 30 / 2);
}

// Guards against an endpoint that gets too much because requests that waited
// under a higher limit are sent under a lower one.
TEST(LimitedWait, LimitFallsWhileRequestsWait) {
  const Duration FallsAt = 20s;
  int SentBefore = 0;
  simulate(60, 20ms, 24s, [&](Duration At) {
    if (At == FallsAt) {
      m_Engine->m_Limit.noteStated(4, m_Now);
      SentBefore = m_Sent;
      CHECK(!m_Queue.empty());
    }
    return 50.0;
  });
  check(24 * 60 / 2);
  // Half of what all VMs may send in four seconds.
  int Sent = m_Sent - SentBefore;
  CHECK_TEXT(Sent <= (1.5 * 4 * 4 + 5) / 2, std::to_string(Sent).c_str());
}

PARSLEYRING_TEST_MAIN
