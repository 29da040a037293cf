#include "store/StoreWriter.h"

#include "PlatformStoreProtocol.h"
#include "support/GatewayTestServers.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static Time now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

TEST_GROUP(StoreWriter) {
  FakeMetadataStore m_Store;
  boost::asio::io_context m_Loop;
  ConnectionPool m_Connections{m_Loop};
  HttpClient m_HttpClient{m_Loop, m_Connections, now};
  NodeMetrics m_Metrics;
  StoreClient m_Client{m_HttpClient, m_Metrics};
  PlatformStoreProtocol m_Protocol;
  std::vector<std::string> m_Rejected;
  StoreWriter m_Writer{
      m_Loop, m_Client, m_Protocol, m_Store.address(),
      [this](const std::string &Key, unsigned) { m_Rejected.push_back(Key); }};

  void runFor(std::chrono::milliseconds Length) { m_Loop.run_for(Length); }
  bool runUntil(const std::function<bool()> &Condition) {
    for (int Count = 0; Count < 500 && !Condition(); ++Count)
      runFor(20ms);
    return Condition();
  }
};

// Guards against changes that an outage of the store drops.
TEST(StoreWriter, WritesAfterAnOutage) {
  m_Store.setDown(true);
  m_Writer.put("a", "1");
  m_Writer.put("b", "1");
  m_Writer.remove("b");
  runFor(500ms);
  CHECK_FALSE(m_Store.has("a"));
  m_Store.put("b", "0");
  m_Store.setDown(false);
  CHECK(runUntil([this] { return m_Store.has("a") && !m_Store.has("b"); }));
  LONGS_EQUAL(0, m_Rejected.size());
}

// Guards against memory that grows through an outage, and against changes that
// are dropped without a word.
TEST(StoreWriter, RejectsMoreThanItCanKeep) {
  m_Store.setDown(true);
  for (std::size_t Number = 0; Number <= StoreWriter::MaxPending; ++Number)
    m_Writer.put("key-" + std::to_string(Number), "1");
  LONGS_EQUAL(1, m_Rejected.size());
}

PARSLEYRING_TEST_MAIN
