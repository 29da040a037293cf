#include "configuration/ConfigurationPublisher.h"

#include "document/DocumentDifference.h"
#include "support/FakePlatform.h"
#include "support/Findings.h"
#include "support/SampleDocument.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static const Time Now{std::chrono::hours(1)};

TEST_GROUP(ConfigurationPublisher) {
  FakePlatform m_Platform;
  unsigned m_Pauses = 0;
  ConfigurationPublisher m_Publisher{m_Platform,
                                     [this](Duration) { ++m_Pauses; }};

  static Publication publication(const std::string &Submission,
                                 ConfigurationVersion Base,
                                 const Document &Value) {
    return {Value, Base, "operator", Submission};
  }
  PublicationResult publish(const std::string &Submission,
                            ConfigurationVersion Base,
                            const Document &Value = sampleDocument()) {
    return m_Publisher.publish(Now, publication(Submission, Base, Value));
  }
  void expect(PublicationStatus Status, ConfigurationVersion Version,
              const PublicationResult &Result) {
    STRCMP_EQUAL(name(Status).data(), name(Result.m_Status).data());
    LONGS_EQUAL(Version, Result.m_Version);
  }
  ConfigurationHead head() {
    std::vector<Finding> Findings;
    return *ConfigurationHead::fromJson(
        "head", m_Platform.read(ConfigurationHeadKey)->m_Value, Findings);
  }
};

// Guards against a publication that cannot be loaded.
TEST(ConfigurationPublisher, PublishAndLoad) {
  Document Value = sampleDocument(20);
  expect(PublicationStatus::Published, 1, publish("a", 0, Value));
  LoadedConfiguration Loaded = m_Publisher.load();
  STRCMP_EQUAL("", describeFindings(Loaded.m_Findings).c_str());
  LONGS_EQUAL(1, Loaded.m_Version);
  LONGS_EQUAL(
      0, documentDifference(Value, *Loaded.m_Configuration->m_Document).size());
  Value.m_Accounts[0].m_Share = 0;
  PublicationResult Invalid = publish("b", 1, Value);
  expect(PublicationStatus::Invalid, 0, Invalid);
  CHECK(hasFinding(Invalid.m_Findings, 0, "account[0].share", "above 0"));
  Value = sampleDocument();
  Value.m_Pools[0].m_Endpoints[0].m_Accelerator = "\xff";
  Invalid = publish("c", 1, Value); // Nodes cannot parse the text.
  STRCMP_CONTAINS("not valid TOML",
                  describeFindings(Invalid.m_Findings).c_str());
  LONGS_EQUAL(1, head().m_Version);
}

// Guards against an operator overwriting another operator's change unseen: the
// second operator publishes between the reads and the swap of the first.
TEST(ConfigurationPublisher, ConcurrentPublishersConflict) {
  expect(PublicationStatus::Published, 1, publish("base", 0));
  Document Second = sampleDocument();
  Second.m_Accounts[1].m_Share = 9;
  ConfigurationPublisher Other(m_Platform, [](Duration) {});
  m_Platform.beforeNextWrite(ConfigurationHeadKey, [&] {
    expect(PublicationStatus::Published, 2,
           Other.publish(Now, publication("second", 1, Second)));
  });
  Document First = sampleDocument();
  First.m_Accounts[0].m_Share = 8;
  PublicationResult Lost = publish("first", 1, First);
  expect(PublicationStatus::Conflict, 0, Lost);
  LONGS_EQUAL(2, Lost.m_NewerHead->m_Version);
  STRCMP_EQUAL("second", Lost.m_NewerHead->m_Submission.c_str());
  LONGS_EQUAL(0, documentDifference(
                     Second, *m_Publisher.load().m_Configuration->m_Document)
                     .size());
  expect(PublicationStatus::Published, 3, publish("first", 2, First));
}

// Guards against a change that is published twice, or reported as failed, when
// only the platform's answer was lost.
TEST(ConfigurationPublisher, LostAnswers) {
  expect(PublicationStatus::Published, 1, publish("a", 0));
  // Loses the answers of chunk and head writes.
  for (unsigned Lost = 1; Lost <= 4; ++Lost) {
    m_Platform.loseAnswers(Lost);
    Document Value = sampleDocument();
    Value.m_Accounts[0].m_Share = 1 + Lost;
    expect(PublicationStatus::Published, 1 + Lost,
           publish("lost-" + std::to_string(Lost), Lost, Value));
  }
  m_Platform.loseAnswers(0);
  m_Platform.loseWrites(4);
  Document Value = sampleDocument();
  Value.m_Accounts[0].m_Share = 50;
  expect(PublicationStatus::Published, 6, publish("write", 5, Value));
  // Repeats the same submission, as after a restart of the console.
  expect(PublicationStatus::Published, 6, publish("write", 5, Value));
  LONGS_EQUAL(6, head().m_Version);
}

// Guards against a conflict reported for a change that took effect, when its
// answer was lost and another publication followed before the read back.
TEST(ConfigurationPublisher, LostAnswerFollowedByAnotherPublication) {
  expect(PublicationStatus::Published, 1, publish("a", 0));
  Publication Wanted = publication("b", 1, sampleDocument());
  ConfigurationPublisher Other(m_Platform, [](Duration) {});
  ConfigurationPublisher Slow(m_Platform, [&](Duration) {
    // Runs after the lost answer, before the read back.
    expect(PublicationStatus::Published, 3,
           Other.publish(Now, publication("c", 2, sampleDocument())));
  });
  m_Platform.loseAnswers(1);
  expect(PublicationStatus::Published, 2, Slow.publish(Now, Wanted));
}

// Guards against a known outcome being reported when an outage leaves it
// unknown.
TEST(ConfigurationPublisher, Outage) {
  m_Platform.setOutage(true);
  expect(PublicationStatus::NotPublished, 0, publish("a", 0));
  m_Platform.setOutage(false);
  expect(PublicationStatus::Published, 1, publish("a", 0));
  ConfigurationPublisher InterruptedPublisher(
      m_Platform, [&](Duration) { m_Platform.setOutage(true); });
  m_Platform.loseAnswers(1);
  expect(
      PublicationStatus::Unknown, 0,
      InterruptedPublisher.publish(Now, publication("b", 1, sampleDocument())));
  m_Platform.setOutage(false);
  expect(PublicationStatus::Published, 2, publish("b", 1));
}

// Guards against chunks changed by hand in the platform that the console can
// neither report nor repair.
TEST(ConfigurationPublisher, ChunkChangedByHand) {
  expect(PublicationStatus::Published, 1, publish("a", 0));
  std::string Key = configurationChunkKey(head().m_Chunks.front().m_Sha256);
  m_Platform.put(Key, "[policy]\n");
  LoadedConfiguration Loaded = m_Publisher.load();
  CHECK(Loaded.m_Configuration == nullptr);
  LONGS_EQUAL(1, Loaded.m_Version);
  STRCMP_CONTAINS("does not have this SHA-256",
                  describeFindings(Loaded.m_Findings).c_str());
  Publication Repair = publication("b", 1, sampleDocument());
  Repair.m_RewritesAllChunks = true;
  expect(PublicationStatus::Published, 2, m_Publisher.publish(Now, Repair));
  CHECK(m_Publisher.load().m_Configuration != nullptr);
}

// Guards against rewriting the whole document when one account changes.
TEST(ConfigurationPublisher, OneAccountChangeWritesThreeValues) {
  Document Value = sampleDocument(3000);
  expect(PublicationStatus::Published, 1, publish("a", 0, Value));
  std::uint64_t Writes = m_Platform.writes();
  std::uint64_t Bytes = m_Platform.bytesTransferred();
  Value.m_Accounts[0].m_Share = 2;
  expect(PublicationStatus::Published, 2, publish("b", 1, Value));
  LONGS_EQUAL(3, m_Platform.writes() - Writes); // Account part, index and head.
  CHECK(m_Platform.bytesTransferred() - Bytes < 60000);
  LONGS_EQUAL(0, m_Pauses);
}

PARSLEYRING_TEST_MAIN
