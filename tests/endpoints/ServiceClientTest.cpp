#include "endpoints/ServiceClient.h"

#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using End = ScriptedServer::End;

TEST_GROUP(ServiceClient){
    static AttemptReport runAt(const std::string &Address,
                               Duration Timeout = std::chrono::seconds(10)){
        auto Payload = std::make_shared<CallerPayload>();
Payload->m_Content = ServicePayload{"POST", "/a?b=%2F", "", "", "body"};
return ServiceClient({Payload, Address, Timeout}).run();
}

static AttemptReport attempt(const std::string &Answer,
                             End After = End::Close) {
  ScriptedServer Server(Answer, After);
  return runAt(Server.address());
}

static void checkResult(AttemptResult Expected, const std::string &Answer) {
  STRCMP_EQUAL(std::string(name(Expected)).c_str(),
               std::string(name(attempt(Answer).m_Result)).c_str());
}
}
;

// Guards against complete answers that are altered or reported as failures.
TEST(ServiceClient, CompleteAnswersFinishWithAnyStatus) {
  AttemptReport Report = attempt("HTTP/1.1 500 Odd\r\nContent-Length: 4\r\n"
                                 "Content-Type: a/b\r\nX-Outcome: completed\r\n"
                                 "Connection: close\r\n\r\nword");
  CHECK(Report.m_Result == AttemptResult::Finished);
  LONGS_EQUAL(500, Report.m_Status);
  STRCMP_EQUAL("word", Report.m_Answer->m_Body.c_str());
  STRCMP_EQUAL("a/b", Report.m_Answer->contentType().c_str());
  LONGS_EQUAL(1, Report.m_Answer->m_Headers.size());
  checkResult(AttemptResult::Finished,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\nx\r\n0\r\n\r\n");
}

// Guards against a truncated answer that is reported as complete.
TEST(ServiceClient, TruncatedAnswersAreConnectionLost) {
  for (const char *Answer :
       {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwor",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno explicit end"})
    checkResult(AttemptResult::ConnectionLost, Answer);
}

// Guards against an answer that is passed on although its status is none that
// an answer can have.
TEST(ServiceClient, StatusOutsideTheFinalOnesIsMalformed) {
  for (const char *Status : {"000", "099", "101", "103", "199", "600", "999"})
    for (const char *Body :
         {"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nword",
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
      checkResult(AttemptResult::Malformed,
                  std::string("HTTP/1.1 ") + Status + " \r\n" + Body);
  STRCMP_EQUAL("status 0 is not one of a final answer",
               attempt("HTTP/1.1 000 \r\n\r\n").m_Detail.c_str());
}

// Guards against a field name that is passed on, or that hides the field that
// delimits the body.
TEST(ServiceClient, FieldNameThatIsNoTokenIsMalformed) {
  for (const char *Line :
       {"X Bad: v", "X-Bad : v", "X-Bad\t: v", " X-Bad: v", "\tX-Bad: v",
        "X\001Bad: v", "X-Bad\x7f: v", "X\rBad: v", "Content-Length : 3",
        "Transfer-Encoding : chunked", ": v"})
    for (const char *Status : {"200 OK", "204 None"})
      checkResult(AttemptResult::Malformed, std::string("HTTP/1.1 ") + Status +
                                                "\r\n" + Line +
                                                "\r\nContent-Length: 4\r\n"
                                                "\r\nword");
}

// Guards against retrying a call that may have run.
TEST(ServiceClient, NotRunOnlyIfConnectFailedOrStated) {
  CHECK(runAt(refusingAddress()).m_Result == AttemptResult::ConnectFailed);
  checkResult(AttemptResult::RefusedLeaving,
              "HTTP/1.1 503 Leaving\r\nX-Outcome: not-run\r\n"
              "Content-Length: 0\r\n\r\n");
  checkResult(AttemptResult::Finished,
              "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
}

// Guards against a call that waits forever for an unresponsive service.
TEST(ServiceClient, UnresponsiveServiceTimesOut) {
  ScriptedServer Server("HTTP/1.1 200 OK\r\n", End::KeepOpen);
  CHECK(runAt(Server.address(), std::chrono::milliseconds(100)).m_Result ==
        AttemptResult::TimedOut);
}

PARSLEYRING_TEST_MAIN
