#include "audit/TraceCodec.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

/// Codec that writes a document as the name of its route strategy.
TraceCodec testCodec() {
  return TraceCodec(
      [](const Document &From) { return From.m_Policy.m_RouteStrategy; },
      [](const std::string &Text) {
        auto Result = std::make_shared<Document>();
        Result->m_Policy.m_RouteStrategy = Text;
        return Result;
      });
}

constexpr Time At{std::chrono::seconds(1700000000)};

} // namespace

TEST_GROUP(TraceCodec){};

// Guards against event fields that a trace loses or changes, so that a replay
// decides differently.
TEST(TraceCodec, EventsRoundTrip) {
  std::vector<Hop> Hops = {{"a", {0, 4}}, {"b", {4, 8}}};
  auto Configuration = std::make_shared<Document>();
  Configuration->m_Policy.m_RouteStrategy = "round-robin";
  const Event Events[] = {
      CompletionArrived{7, "hash", "model", 3, 9, -2, {1, ~0ULL}},
      ServiceCallArrived{8, "hash", "pool", "POST", "/p", "", "body"},
      CallerDisconnected{9},
      CallerReturned{9},
      TokenArrived{10, 4, Hops},
      AttemptEnded{11, AttemptResult::RefusedLeaving, 503, "quote \" \n", "e2"},
      LoadReported{"a", "run", At, 1, 2, true, {5, 6}},
      EndpointLeaving{"a", "run", LeavingSource::Peer},
      PeersChanged{3, {{"acct", 4}}, {"d2"}},
      ConfigurationApplied{12, Configuration},
      ConfigurationApplied{13, nullptr},
      ClaimSettled{14, ClaimResult::BodyDiffers, "detail"},
      DrainStarted(),
      Tick(),
  };
  TraceCodec Codec = testCodec();
  for (const Event &Each : Events) {
    WriteAudit Record = Codec.encode(At, Each);
    CHECK(Record.m_Kind == AuditKind::CoreEvent);
    Event Decoded = Codec.decode(Record.m_FieldsJson);
    LONGS_EQUAL(Each.index(), Decoded.index());
    CHECK_EQUAL(Record.m_FieldsJson, Codec.encode(At, Decoded).m_FieldsJson);
  }
  auto Token = std::get<TokenArrived>(
      Codec.decode(Codec.encode(At, Events[4]).m_FieldsJson));
  LONGS_EQUAL(10, Token.m_Attempt);
  LONGS_EQUAL(4, Token.m_Position);
  CHECK(Token.m_Hops == Hops);
  auto Ended = std::get<AttemptEnded>(
      Codec.decode(Codec.encode(At, Events[5]).m_FieldsJson));
  STRCMP_EQUAL("e2", Ended.m_FailedEndpoint.c_str());
  auto Load = std::get<LoadReported>(
      Codec.decode(Codec.encode(At, Events[6]).m_FieldsJson));
  CHECK(Load.m_ReportedAt == At && Load.m_IsDraining);
  auto Applied = std::get<ConfigurationApplied>(
      Codec.decode(Codec.encode(At, Events[9]).m_FieldsJson));
  STRCMP_EQUAL("round-robin",
               Applied.m_Document->m_Policy.m_RouteStrategy.c_str());
  LONGS_EQUAL(7, Codec.encode(At, Events[0]).m_Request);
}

// Guards against plain idempotency keys in traces, and against hashing the key
// again in a replay.
TEST(TraceCodec, IdempotencyKeyIsHashedOnce) {
  TraceCodec Codec = testCodec();
  ServiceCallArrived Call{1, "hash", "pool", "POST", "/p", "secret", "body"};
  std::string First = Codec.encode(At, Call).m_FieldsJson;
  CHECK(First.find("secret") == std::string::npos);
  CHECK(First.find(sha256Hex("secret")) != std::string::npos);
  CHECK_EQUAL(First, Codec.encode(At, Codec.decode(First)).m_FieldsJson);
}

// Guards against traces that contain prompts or answers quoted by an endpoint,
// and against a detail that a replay shortens again.
TEST(TraceCodec, EndpointMessagesAreRedacted) {
  TraceCodec Codec = testCodec();
  for (AttemptEnded End :
       {AttemptEnded{1, AttemptResult::Rejected, 400, "too-long: secret"},
        AttemptEnded{1, AttemptResult::Malformed, 200,
                     "event of the engine: syntax error; last read: secret"}}) {
    std::string First = Codec.encode(At, End).m_FieldsJson;
    CHECK(First.find("secret") == std::string::npos);
    CHECK_EQUAL(First, Codec.encode(At, Codec.decode(First)).m_FieldsJson);
  }
}

// Guards against a malformed trace that ends the program or is accepted.
TEST(TraceCodec, MalformedRecordsAreRejected) {
  TraceCodec Codec = testCodec();
  for (const char *Text :
       {"", "{", "{}", "[]", R"({"event":"none","fields":{}})",
        R"({"event":"caller-gone","fields":{}})",
        R"({"event":"caller-gone","fields":{"request":"x"}})",
        R"({"event":"token-arrived",
            "fields":{"attempt":1,"position":0,"hops":[[]]}})",
        R"({"event":"claim-settled",
            "fields":{"request":1,"result":"maybe","detail":""}})"})
    CHECK_THROWS(TraceError, Codec.decode(Text));
}

PARSLEYRING_TEST_MAIN
