#include "endpoints/EngineClient.h"

#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using End = ScriptedServer::End;

static const char *const StreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

static std::string chunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

static std::string token(int Position, const char *Reason) {
  return "data: {\"choices\":[{\"index\":0,\"text\":\"t" +
         std::to_string(Position) + "\",\"finish_reason\":" + Reason +
         "}],\"position\":" + std::to_string(Position) +
         ",\"hops\":[{\"endpoint\":\"e\",\"first_layer\":0,\"end_layer\":8}]}"
         "\n\n";
}

static std::string answer(const char *Status, const std::string &Body) {
  return std::string("HTTP/1.1 ") + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

TEST_GROUP(EngineClient) {
  std::string m_Text;

  EngineCall call(const std::string &Address) {
    auto Payload = std::make_shared<CallerPayload>();
    Payload->m_RequestId = "req-a-1-1";
    CompletionPayload Completion;
    Completion.m_Model = "m";
    Completion.m_Prompt = "p";
    Completion.m_MaxTokens = 2;
    Payload->m_Content = Completion;
    return {Payload, 1, {{{"e", {0, 8}}, Address}}, {}};
  }

  EngineClient client(const std::string &Address) {
    return {call(Address), [this](std::uint32_t, std::vector<Hop>,
                                  std::string Text) { m_Text += Text; }};
  }

  AttemptReport attempt(const std::string &Answer, End After = End::Close) {
    ScriptedServer Server(Answer, After);
    return client(Server.address()).run();
  }

  void checkResult(AttemptResult Expected, const std::string &Answer) {
    AttemptReport Report = attempt(Answer);
    STRCMP_EQUAL(std::string(name(Expected)).c_str(),
                 std::string(name(Report.m_Result)).c_str());
  }
};

// Guards against a complete answer that is reported as incomplete.
TEST(EngineClient, CompleteStreamFinishes) {
  // The engine may keep the connection open after "[DONE]".
  AttemptReport Report =
      attempt(StreamHead + chunk(token(0, "null")) +
                  chunk(token(1, "\"length\"") + "data: [DONE]\n\n"),
              End::KeepOpen);
  CHECK(Report.m_Result == AttemptResult::Finished);
  STRCMP_EQUAL("length", Report.m_FinishReason.c_str());
  STRCMP_EQUAL("t0t1", m_Text.c_str());
}

// Guards against a truncated answer that is reported as complete.
TEST(EngineClient, StreamWithoutDoneEventIsConnectionLost) {
  checkResult(AttemptResult::ConnectionLost,
              StreamHead + chunk(token(0, "null")));
  STRCMP_EQUAL("t0", m_Text.c_str());
  checkResult(AttemptResult::ConnectionLost,
              StreamHead + chunk(token(0, "\"length\"")) + "0\r\n\r\n");
  checkResult(AttemptResult::ConnectionLost,
              StreamHead +
                  chunk("data: {\"error\":{\"code\":\"stage-failed\"}}\n\n"));
  checkResult(AttemptResult::ConnectionLost, "");
}

// Guards against accepting streams whose events do not follow the protocol.
TEST(EngineClient, MalformedStreams) {
  for (const char *Text :
       {"data: {\n\n", "data: {\"choices\":[]}\n\n",
        "data: {\"choices\":[{\"text\":1}],\"position\":0,\"hops\":[]}\n\n",
        "data: {\"choices\":[{\"text\":\"t\"}],\"position\":0}\n\n",
        "data: [DONE]\n\n"})
    checkResult(AttemptResult::Malformed, StreamHead + chunk(Text));
}

// Guards against an answer that counts as a stream, or as no answer at all,
// although its head is malformed.
TEST(EngineClient, MalformedHeadsAreNotUsed) {
  const std::string Stream =
      "Transfer-Encoding: chunked\r\n\r\n" + chunk(token(0, "null"));
  for (const char *Head :
       {"HTTP/1.1 000 \r\n", "HTTP/1.1 103 Early\r\n", "HTTP/1.1 600 \r\n",
        "HTTP/1.1 200 OK\r\nX Bad: v\r\n", "HTTP/1.1 200 OK\r\nX-Bad : v\r\n",
        "HTTP/1.1 200 OK\r\n X-Bad: v\r\n"})
    checkResult(AttemptResult::Malformed, Head + Stream);
  STRCMP_EQUAL("", m_Text.c_str());
}

// Guards against treating a request as not run (and so safe to retry) although
// the engine did not say so.
TEST(EngineClient, RefusalNeedsStatementOfTheEngine) {
  auto Error = [](const char *Code, const char *Outcome) {
    return std::string("{\"error\":{\"code\":\"") + Code + "\",\"outcome\":\"" +
           Outcome + "\"}}";
  };
  checkResult(AttemptResult::RefusedNotRun,
              answer("429 Busy", Error("overloaded", "not-run")));
  checkResult(AttemptResult::RefusedLeaving,
              answer("503 Leaving", Error("draining", "not-run")));
  checkResult(AttemptResult::ConnectionLost,
              answer("503 Leaving", Error("draining", "unknown")));
  checkResult(AttemptResult::ConnectionLost, answer("503 Busy", "busy"));
  checkResult(AttemptResult::ConnectionLost, answer("500 Error", ""));
  checkResult(AttemptResult::Rejected,
              answer("400 Bad", Error("malformed", "not-run")));
}

// Guards against reporting the first stage for the failure of a later one: the
// request would reach the failed stage again through each other first stage.
TEST(EngineClient, ReportsTheFailedStage) {
  AttemptReport Refused = attempt(
      answer("503 Busy", R"({"error":{"code":"overloaded","outcome":"not-run",)"
                         R"("endpoint":"later","reason":"unreachable"}})"));
  CHECK(Refused.m_Result == AttemptResult::ConnectFailed);
  STRCMP_EQUAL("later", Refused.m_FailedEndpoint.c_str());
  AttemptReport Broken =
      attempt(StreamHead + chunk("data: {\"error\":{\"code\":\"stage-failed\","
                                 "\"endpoint\":\"later\"}}\n\n"));
  CHECK(Broken.m_Result == AttemptResult::ConnectionLost);
  STRCMP_EQUAL("later", Broken.m_FailedEndpoint.c_str());
}

// Guards against retrying an attempt that may have run, and against not
// retrying one that cannot have run.
TEST(EngineClient, ConnectFailedOnlyIfNothingWasSent) {
  CHECK(client(refusingAddress()).run().m_Result ==
        AttemptResult::ConnectFailed);
  CHECK(client("nowhere").run().m_Result == AttemptResult::ConnectFailed);
}

// Guards against threads that block forever on an unresponsive engine.
TEST(EngineClient, CancelEndsAStalledStream) {
  ScriptedServer Server(StreamHead, End::KeepOpen);
  EngineClient Silent = client(Server.address());
  std::thread Canceller([&] {
    while (!Server.hasRequest())
      std::this_thread::yield();
    Silent.cancel();
  });
  AttemptReport Report = Silent.run();
  Canceller.join();
  CHECK(Report.m_Result == AttemptResult::Cancelled);
  EngineClient CancelledClient = client(Server.address());
  CancelledClient.cancel();
  CHECK(CancelledClient.run().m_Result == AttemptResult::Cancelled);
}

PARSLEYRING_TEST_MAIN
