#include "configuration/ConfigurationState.h"

#include "support/Findings.h"
#include "support/SampleDocument.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static const Time Start{std::chrono::hours(1)};

/// A head and its chunks, as a source provides them.
struct PublishedConfiguration {
  ConfigurationHead m_Head;
  ChunkStore m_Chunks;

  PublishedConfiguration(ConfigurationVersion Version, const Document &Value) {
    EncodedDocument Encoded = encodeDocument(Value);
    m_Head.m_Version = Version;
    m_Head.m_Chunks = Encoded.m_References;
    m_Head.m_Submission = "s" + std::to_string(Version);
    m_Chunks = Encoded.m_Chunks;
  }
  std::string json() const { return m_Head.toJson(); }
};

TEST_GROUP(ConfigurationState) {
  std::unique_ptr<ConfigurationState> m_State;

  void createState(const std::vector<std::string> &Sources) {
    m_State = std::make_unique<ConfigurationState>(Start, Sources);
  }
  /// Adds the candidate's missing chunks from From and applies the candidate;
  /// true if it comes into force.
  bool applyFrom(const PublishedConfiguration &From, Time Now = Start) {
    const auto *Wanted = m_State->candidate(Now);
    if (!Wanted)
      return false;
    for (auto Missing = m_State->missingChunks(*Wanted); !Missing.empty();
         Missing = m_State->missingChunks(*Wanted))
      for (const std::string &Hash : Missing)
        if (!m_State->addChunk(Now, "peer", Hash, *From.m_Chunks.find(Hash)))
          return false;
    return m_State->apply(Now, *Wanted);
  }
  bool offer(const PublishedConfiguration &What, const std::string &Source) {
    m_State->handleHeadAnswer(Start, Source, What.json());
    return applyFrom(What);
  }
  /// Text of the only rejection since the last call.
  std::string rejection() {
    auto Rejections = m_State->takeRejections();
    LONGS_EQUAL(1, Rejections.size());
    return describeFindings(Rejections.front().m_Findings);
  }
};

// Guards against a starting node that takes an old configuration because the
// first answer had it.
TEST(ConfigurationState, StartWaitsForAllAnswers) {
  PublishedConfiguration Old(4, sampleDocument(1));
  PublishedConfiguration New(5, sampleDocument(2));
  createState({PlatformSource, "a", "b"});
  m_State->handleHeadAnswer(Start, "a", Old.json());
  CHECK(m_State->candidate(Start) == nullptr);
  m_State->handleHeadAnswer(Start, PlatformSource, std::nullopt);
  CHECK(m_State->candidate(Start) == nullptr);
  m_State->handleHeadAnswer(Start, "b", New.json());
  CHECK(applyFrom(New));
  LONGS_EQUAL(5, m_State->version());
  CHECK(m_State->candidate(Start) == nullptr);
}

// Guards against a starting node that waits forever for an unreachable peer.
TEST(ConfigurationState, StartWaitHasATimeout) {
  PublishedConfiguration Old(4, sampleDocument(1));
  createState({PlatformSource, "a"});
  m_State->handleHeadAnswer(Start, "a", Old.json());
  Time TimeoutAt = Start + ConfigurationState::StartTimeout;
  CHECK(m_State->candidate(TimeoutAt - Duration(1)) == nullptr);
  CHECK(applyFrom(Old, TimeoutAt));
}

// Guards against going back to an older version, from whichever source.
TEST(ConfigurationState, NeverReverts) {
  createState({});
  PublishedConfiguration Old(6, sampleDocument(1));
  CHECK(offer(PublishedConfiguration(7, sampleDocument(2)), "a"));
  CHECK_FALSE(offer(Old, "b"));
  LONGS_EQUAL(0, m_State->takeRejections().size()); // Normal for a peer.
  CHECK_FALSE(offer(Old, PlatformSource));
  STRCMP_CONTAINS("older than version 7", rejection().c_str());
  CHECK_FALSE(offer(Old, PlatformSource)); // Counted, not recorded again.
  LONGS_EQUAL(0, m_State->takeRejections().size());
  LONGS_EQUAL(3, m_State->counters().m_OlderHeads);
  CHECK_FALSE(
      offer(PublishedConfiguration(7, sampleDocument(3)), PlatformSource));
  STRCMP_CONTAINS("another content", rejection().c_str());
  LONGS_EQUAL(7, m_State->version());
  LONGS_EQUAL(2, m_State->inForce()->m_Document->m_Accounts.size());
}

// Guards against accepting a chunk that was changed by hand in the platform.
TEST(ConfigurationState, HashMismatchIsRejected) {
  createState({});
  CHECK(offer(PublishedConfiguration(1, sampleDocument(1)), PlatformSource));
  PublishedConfiguration Next(2, sampleDocument(2));
  m_State->handleHeadAnswer(Start, PlatformSource, Next.json());
  const auto *Wanted = m_State->candidate(Start);
  std::string Hash = m_State->missingChunks(*Wanted).front();
  std::string Changed = *Next.m_Chunks.find(Hash) + "# by hand\n";
  CHECK_FALSE(m_State->addChunk(Start, PlatformSource, Hash, Changed));
  CHECK_FALSE(m_State->addChunk(Start, PlatformSource, Hash, Changed));
  STRCMP_CONTAINS("does not have this SHA-256", rejection().c_str());
  m_State->removeCandidate(*Wanted);
  CHECK(m_State->candidate(Start) == nullptr);
  LONGS_EQUAL(1, m_State->version());
  CHECK(offer(Next, "a")); // The peer has the original chunk.
  LONGS_EQUAL(2, m_State->version());
}

// Guards against activating an invalid document whose hashes are right, and
// against fetching it repeatedly.
TEST(ConfigurationState, InvalidDocumentIsRejectedOnce) {
  createState({});
  CHECK(offer(PublishedConfiguration(1, sampleDocument(1)), PlatformSource));
  Document Value = sampleDocument(1);
  Value.m_Accounts[0].m_Share = -1;
  PublishedConfiguration Invalid(3, Value);
  CHECK_FALSE(offer(Invalid, PlatformSource));
  STRCMP_CONTAINS("accounts-cc:4: account[0].share: must be above 0",
                  rejection().c_str());
  CHECK_FALSE(offer(Invalid, PlatformSource));
  CHECK(m_State->candidate(Start) == nullptr);
  LONGS_EQUAL(1, m_State->counters().m_InvalidDocuments);
  // An account part with other tables must be rejected: when the part is
  // reused, only its accounts are copied.
  PublishedConfiguration Hidden(4, sampleDocument(1));
  std::string Part = "[[pool]]\nname = \"p\"\n";
  std::string Index = writeAccountIndex({{"accounts-00", sha256Hex(Part)}});
  Hidden.m_Head.m_Chunks.back().m_Sha256 = sha256Hex(Index);
  Hidden.m_Chunks.add(sha256Hex(Part), Part);
  Hidden.m_Chunks.add(sha256Hex(Index), Index);
  CHECK_FALSE(offer(Hidden, PlatformSource));
  STRCMP_CONTAINS("pool: is unknown; allowed here: account",
                  rejection().c_str());
  CHECK(offer(PublishedConfiguration(5, sampleDocument(2)), PlatformSource));
}

// Guards against malformed heads that prevent accepting a later valid head.
TEST(ConfigurationState, MalformedHeads) {
  createState({});
  for (const char *Text :
       {"", "x", "[]", "{}", R"({"version":-1})",
        R"({"version":1,"author":"a","submission":"s","published_at_ms":1,)"
        R"("chunks":[{"name":"policy","sha256":"12"}]})"})
    m_State->handleHeadAnswer(Start, PlatformSource, std::string(Text));
  LONGS_EQUAL(5, m_State->counters().m_RejectedHeads);
  CHECK(m_State->candidate(Start) == nullptr);
  CHECK(offer(PublishedConfiguration(1, sampleDocument(1)), PlatformSource));
}

// Guards against lost or stale accounts when unchanged parts are reused from
// the configuration in force.
TEST(ConfigurationState, UnchangedPartsAreReused) {
  createState({});
  Document Value = sampleDocument(600);
  CHECK(offer(PublishedConfiguration(1, Value), "a"));
  Value.m_Accounts[5].m_Share = 3;
  Value.m_Accounts.erase(Value.m_Accounts.begin() + 9);
  PublishedConfiguration Next(2, Value);
  m_State->handleHeadAnswer(Start, "a", Next.json());
  // The index and the two changed account parts are fetched.
  unsigned Fetched = 0;
  const auto *Wanted = m_State->candidate(Start);
  for (auto Missing = m_State->missingChunks(*Wanted); !Missing.empty();
       Missing = m_State->missingChunks(*Wanted))
    for (const std::string &Hash : Missing) {
      CHECK(m_State->addChunk(Start, "a", Hash, *Next.m_Chunks.find(Hash)));
      ++Fetched;
    }
  LONGS_EQUAL(3, Fetched);
  CHECK(m_State->apply(Start, *Wanted));
  PublishedConfiguration Again(2, *m_State->inForce()->m_Document);
  STRCMP_EQUAL(Next.json().c_str(), Again.json().c_str());
}

PARSLEYRING_TEST_MAIN
