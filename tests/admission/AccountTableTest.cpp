#include "admission/AccountTable.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(AccountTable) {
  static constexpr std::uint32_t VMs = 8;
  Time m_Now{1000s};
  std::vector<AccountTable> m_Tables;

  void setUp(std::uint32_t Count, double Rate, std::uint32_t Outstanding) {
    Document Configuration;
    ClientAccount Account;
    Account.m_Name = "a";
    Account.m_RequestsPerSecond = Rate;
    Account.m_MaxOutstanding = Outstanding;
    Configuration.m_Accounts.push_back(Account);
    m_Tables.resize(Count);
    for (AccountTable &Table : m_Tables)
      Table.apply(Configuration);
    exchangeUsage();
  }
  /// Gives each VM the usage of the others, as the digests do.
  void exchangeUsage() {
    for (AccountTable &Table : m_Tables) {
      PeersChanged Peers;
      Peers.m_LivePeers = static_cast<std::uint32_t>(m_Tables.size()) - 1;
      for (AccountTable &Other : m_Tables)
        if (&Other != &Table)
          for (const auto &[Name, Used] : Other.usage(m_Now))
            Peers.m_PeerOutstanding[Name] += Used;
      Table.setPeers(Peers);
    }
  }
  /// Sends PerSecond requests, which end at once, to each of the first Used VMs
  /// for 30 s. Returns the number admitted per second after the first 10 s.
  double admittedPerSecond(std::size_t Used, int PerSecond) {
    int Admitted = 0;
    for (int Second = 0; Second < 30; ++Second)
      for (int Request = 0; Request < PerSecond; ++Request) {
        m_Now += Duration(1s) / PerSecond;
        if (Request % (PerSecond / 2) == 0)
          exchangeUsage();
        for (std::size_t VM = 0; VM < Used; ++VM) {
          if (m_Tables[VM].admit(m_Now, "a").m_Result !=
              AdmissionResult::Admitted)
            continue;
          m_Tables[VM].noteStarted(m_Now, "a");
          m_Tables[VM].noteEnded(m_Now, "a");
          Admitted += Second >= 10;
        }
      }
    return Admitted / 20.0;
  }
};

// Guards against an account that gets its full rate on each VM.
TEST(AccountTable, RateHoldsOverAllVMs) {
  setUp(VMs, 40, 100);
  DOUBLES_EQUAL(40, admittedPerSecond(VMs, 50), 4);
}

// Guards against a caller that uses only one VM and gets a fraction of its
// rate, because its requests are too short to be outstanding when a digest is
// sent.
TEST(AccountTable, OneVMGetsTheWholeRate) {
  setUp(VMs, 40, 100);
  DOUBLES_EQUAL(40, admittedPerSecond(1, 50), 1);
}

// Guards against an account with less than one request per second that is never
// admitted, or whose token bucket is full again after an idle second.
TEST(AccountTable, LowRate) {
  setUp(1, 0.5, 100);
  CHECK(m_Tables[0].admit(m_Now, "a").m_Result == AdmissionResult::Admitted);
  m_Now += 10ms;
  m_Tables[0].usage(m_Now + 1s);
  AdmissionDecision Refused = m_Tables[0].admit(m_Now + 1s, "a");
  CHECK(Refused.m_Result == AdmissionResult::RateLimited);
  DOUBLES_EQUAL(1.0, Refused.m_RetryAfter.count() / 1e6, 0.05);
  CHECK(m_Tables[0].admit(m_Now + 2s, "a").m_Result ==
        AdmissionResult::Admitted);
}

// Guards against an outstanding limit that applies to each VM separately, and
// against fixed parts that prevent one VM from using requests that the others
// leave free.
TEST(AccountTable, OutstandingLimitFollowsUsage) {
  setUp(VMs, 1e6, 80);
  for (int Second = 0; Second < 10; ++Second) {
    for (AccountTable &Table : m_Tables)
      while (&Table == &m_Tables[0] &&
             Table.admit(m_Now, "a").m_Result == AdmissionResult::Admitted)
        Table.noteStarted(m_Now, "a");
    m_Now += 1s;
    exchangeUsage();
    if (Second == 0)
      LONGS_EQUAL(40, m_Tables[0].outstanding("a"));
  }
  LONGS_EQUAL(80, m_Tables[0].outstanding("a"));
  CHECK(m_Tables[0].admit(m_Now, "a").m_Result ==
        AdmissionResult::OutstandingLimited);
  // Another VM may still use its equal part of the limit.
  int Admitted = 0;
  while (m_Tables[1].admit(m_Now, "a").m_Result == AdmissionResult::Admitted) {
    m_Tables[1].noteStarted(m_Now, "a");
    ++Admitted;
  }
  LONGS_EQUAL(10, Admitted);
}

// Guards against admitting requests of an account that was removed from the
// configuration, and against a count of outstanding requests that falls below
// zero.
TEST(AccountTable, RemovedAccount) {
  setUp(1, 10, 10);
  m_Tables[0].noteStarted(m_Now, "a");
  m_Tables[0].apply(Document());
  CHECK(m_Tables[0].admit(m_Now, "a").m_Result ==
        AdmissionResult::UnknownAccount);
  m_Tables[0].noteEnded(m_Now, "a");
  m_Tables[0].noteEnded(m_Now, "a");
  LONGS_EQUAL(0, m_Tables[0].outstanding("a"));
  CHECK(m_Tables[0].usage(m_Now + 5s).empty());
}

PARSLEYRING_TEST_MAIN
