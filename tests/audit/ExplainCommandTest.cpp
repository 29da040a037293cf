#include "audit/ExplainCommand.h"

#include "audit/AuditWriter.h"
#include "requests/RouterFixture.h"
#include "support/TemporaryFile.h"
#include "support/TestMain.h"

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

/// A Router whose decisions are recorded as those of the given VM.
class RecordedRouter {
public:
  explicit RecordedRouter(const std::string &VM)
      : m_Options(options(VM)), m_Router(m_Options),
        m_Writer(m_Options.m_Self, m_Output) {
    handle(ConfigurationApplied{3, testDocument()});
    handle(PeersChanged{2, {}, {"d9"}});
  }

  Actions handle(const Event &Input) {
    m_Now += std::chrono::milliseconds(2);
    Actions Result;
    m_Router.handle(m_Now, Input, Result);
    for (const WriteAudit &Record : actionsOf<WriteAudit>(Result))
      m_Writer.write(Record);
    return Result;
  }

  Actions call(RequestNumber Number, const char *Key) {
    return handle(ServiceCallArrived{Number, "key", "ledger", "POST", "/pay",
                                     Key, "body"});
  }

  std::string text() const { return m_Output.str(); }
  Time m_Now = TestStart;

private:
  static RouterOptions options(const std::string &VM) {
    RouterOptions Result = RouterFixture::options(1);
    Result.m_Self.m_VM = VM;
    return Result;
  }

  RouterOptions m_Options;
  Router m_Router;
  std::ostringstream m_Output;
  AuditWriter m_Writer;
};

/// Removes the line with the given sequence number.
std::string withoutRecord(const std::string &Text, int Sequence) {
  std::string Start = "{\"seq\":" + std::to_string(Sequence) + ",";
  std::size_t Begin = Text.find(Start);
  std::size_t End = Text.find('\n', Begin);
  return Text.substr(0, Begin) + Text.substr(End + 1);
}

} // namespace

TEST_GROUP(ExplainCommand) {
  std::ostringstream m_Output;
  std::ostringstream m_Errors;

  int explain(const std::string &Id, const std::vector<std::string> &Texts) {
    std::vector<std::unique_ptr<TemporaryFile>> Files;
    std::vector<std::string> Paths;
    for (const std::string &Text : Texts) {
      Files.push_back(std::make_unique<TemporaryFile>(Text));
      Paths.push_back(Files.back()->path());
    }
    m_Output.str("");
    m_Errors.str("");
    return ExplainCommand::explain(Id, Paths, m_Output, m_Errors);
  }

  void expect(const std::string &Part) const {
    CHECK_TEXT(m_Output.str().find(Part) != std::string::npos,
               (Part + "\nis not in\n" + m_Output.str()).c_str());
  }
};

// Guards against an explanation that omits why a stream was resumed, what the
// second route avoided, or which outcome the caller got.
TEST(ExplainCommand, ExplainsResumedStream) {
  RecordedRouter VM("vm1");
  VM.handle(EndpointLeaving{"a2", "i1", LeavingSource::VMList});
  Actions First = VM.handle(CompletionArrived{1, "key", "model", 10, 2, 0, {}});
  auto Started = actionsOf<StartCompletion>(First).at(0);
  VM.handle(TokenArrived{Started.m_Attempt, 0, hopsOf(Started.m_Route)});
  VM.handle(AttemptEnded{Started.m_Attempt, AttemptResult::ConnectionLost, 200,
                         "the stream broke"});
  Actions Second;
  while (actionsOf<StartCompletion>(Second).empty())
    Second = VM.handle(Tick());
  Started = actionsOf<StartCompletion>(Second).at(0);
  VM.handle(TokenArrived{Started.m_Attempt, 1, hopsOf(Started.m_Route)});
  VM.handle(AttemptEnded{Started.m_Attempt, AttemptResult::Finished, 200, ""});
  CHECK_EQUAL(0, explain("req-vm1-7-1", {VM.text()}));
  expect("received by VM vm1");
  expect("Configuration version 3 was in force on this VM from 2023-11-14 "
         "22:13:20.002000 UTC on.");
  expect("Other live routers at that time: 2; unreachable failure domains: "
         "[\"d9\"].");
  expect("Admitted for the account \"acct\" to the pool \"engines\"");
  expect("strategy \"estimated-cost\" chose this route under configuration "
         "version 3");
  expect("Candidates for layers [0, 4) with estimated cost: a1");
  expect("a2 was leaving (since 2023-11-14 22:13:20.006000 UTC, sign "
         "\"vm-list\").");
  expect("the connection was lost before the whole answer, HTTP status 200 "
         "(the stream broke).");
  expect("The stream is to be resumed after 1 delivered token");
  expect("a1 had failed this request and was chosen again, since no "
         "complete route existed without the failed endpoints.");
  expect("It had waited 1.000 s for its turn or for a usable route.");
  expect("The caller was told the outcome \"completed\", HTTP status 200");
  expect("No records are missing");
}

// Guards against an explanation of a second route that does not name the
// endpoint that refused the first attempt.
TEST(ExplainCommand, ExplainsAvoidedEndpoint) {
  RecordedRouter VM("vm1");
  Actions First = VM.handle(CompletionArrived{1, "key", "model", 10, 2, 0, {}});
  auto Started = actionsOf<StartCompletion>(First).at(0);
  std::string Refusing = Started.m_Route.at(0).m_Hop.m_Endpoint;
  VM.handle(AttemptEnded{Started.m_Attempt, AttemptResult::RefusedNotRun, 503,
                         "overloaded: too much for \"the prompt\""});
  while (actionsOf<StartCompletion>(VM.handle(Tick())).empty()) {
  }
  CHECK_EQUAL(0, explain("req-vm1-7-1", {VM.text()}));
  expect("The request is to be retried, because the endpoint refused and "
         "states that it ran nothing; 0 attempts since the last progress. Not "
         "before ");
  expect(Refusing + " was avoided because it had failed this request.");
  // The message of an endpoint may quote the prompt.
  expect("HTTP status 503 (overloaded).");
  CHECK(VM.text().find("the prompt") == std::string::npos);
}

// Guards against an explanation of a refused repeat that does not find the
// request that ran on another VM, whatever the order of the files.
TEST(ExplainCommand, FindsRequestWithSameKey) {
  RecordedRouter First("vm1");
  First.call(1, "order-1");
  auto Call = actionsOf<StartServiceCall>(
      First.handle(ClaimSettled{1, ClaimResult::Granted, ""}));
  First.handle(
      AttemptEnded{Call.at(0).m_Attempt, AttemptResult::Finished, 201, ""});
  RecordedRouter Second("vm2");
  Second.m_Now += std::chrono::seconds(1);
  Second.call(1, "order-1");
  Second.handle(ClaimSettled{1, ClaimResult::Completed, "claimed by VM vm1"});
  Second.call(2, "order-2");
  std::vector<std::string> Texts = {First.text(), Second.text()};
  for (int Order = 0; Order < 2; ++Order) {
    CHECK_EQUAL(0, explain("req-vm2-7-1", Texts));
    expect("received by VM vm2");
    expect("its answer was no longer kept (claimed by VM vm1).");
    expect("The same idempotency key was used by request req-vm1-7-1 at VM "
           "vm1:");
    expect("The claim was granted: only this VM could send the call, once.");
    expect("told the outcome \"completed\", HTTP status 201");
    CHECK(m_Output.str().find("req-vm2-7-2") == std::string::npos);
    CHECK(m_Output.str().find("order-1") == std::string::npos);
    std::reverse(Texts.begin(), Texts.end());
  }
}

// Guards against missing records that are not reported, of the VM of the
// request or of the VM that ran the call. A file given twice changes nothing.
TEST(ExplainCommand, ReportsMissingRecords) {
  RecordedRouter First("vm1");
  First.call(1, "order-1");
  RecordedRouter Second("vm2");
  Second.call(1, "order-1");
  Second.handle(ClaimSettled{1, ClaimResult::InProgress, ""});
  RecordedRouter Other("vm3");
  Other.call(1, "order-3");
  std::string FirstText = withoutRecord(First.text(), 1);
  std::string SecondText = withoutRecord(withoutRecord(Second.text(), 3), 4);
  CHECK_EQUAL(0, explain("req-vm2-7-1", {FirstText, SecondText, SecondText,
                                         withoutRecord(Other.text(), 2)}));
  expect("Record 1 of VM vm1");
  expect("Records 3 to 4 of VM vm2 (started 1970-01-01 00:00:00.000007 UTC) "
         "are missing, written from ");
  CHECK(m_Output.str().find("VM vm3") == std::string::npos);
  std::string Text = m_Output.str();
  std::size_t At = Text.find("The claim was refused");
  CHECK(Text.find("The claim was refused", At + 1) == std::string::npos);
}

// Guards against a log line, a truncated record or a field of another type that
// ends the explanation, and against skipped lines that are not counted.
TEST(ExplainCommand, SkipsAndCountsOtherLines) {
  RecordedRouter VM("vm1");
  VM.handle(CompletionArrived{1, "wrong", "model", 10, 2, 0, {}});
  std::string Text = "I1204 a log line\n" + VM.text() +
                     "{\"seq\":\"x\"}\n[1]\n{\"seq\":9,\"at_us\":1\n"
                     "{\"seq\":5,\"at_us\":1700000000000000,\"vm\":\"vm1\","
                     "\"incarnation\":7,\"kind\":\"route\",\"request\":"
                     "\"req-vm1-7-1\",\"stages\":[{\"endpoint\":5}]}\n";
  CHECK_EQUAL(0, explain("req-vm1-7-1", {Text}));
  expect("Refused before anything was sent to an endpoint: the account key is "
         "not known (code \"unknown-key\")");
  expect("This record cannot be interpreted: ");
  expect("5 records read, 4 other lines skipped.");
}

// Guards against an explanation that omits why no route was found.
TEST(ExplainCommand, ExplainsMissingRoute) {
  RecordedRouter VM("vm1");
  VM.handle(EndpointLeaving{"b1", "", LeavingSource::Peer});
  VM.handle(EndpointLeaving{"b2", "", LeavingSource::Peer});
  VM.handle(CompletionArrived{1, "key", "model", 10, 2, 0, {}});
  VM.m_Now += std::chrono::seconds(31);
  VM.handle(Tick());
  CHECK_EQUAL(0, explain("req-vm1-7-1", {VM.text()}));
  expect("the usable endpoints did not form a complete route. a1 was usable, "
         "but no usable endpoint continued after its layers.");
  expect("b1 was leaving (since ");
  expect("the time limit of the request passed");
}

// Guards against exit codes that confuse "not found" with "unreadable".
TEST(ExplainCommand, ExitCodesAreDistinct) {
  RecordedRouter VM("vm1");
  CHECK_EQUAL(1, explain("req-vm1-7-1", {VM.text(), "no record\n"}));
  CHECK(m_Errors.str().find("1 other lines skipped") != std::string::npos);
  CHECK_EQUAL(2, explain("vm1-7-1", {VM.text()}));
  CHECK_EQUAL(2, ExplainCommand::explain("req-vm1-7-1", {"/nonexistent"},
                                         m_Output, m_Errors));
  CHECK_EQUAL(
      2, ExplainCommand::explain("req-vm1-7-1", {"/"}, m_Output, m_Errors));
}

// Guards against gateway logs in which the cause of a failed request cannot be
// found: over two VMs, with prefixes of a log collector, lines of other
// requests and earlier events about endpoints.
TEST(ExplainCommand, ExplainsRequestFromGatewayLogs) {
  const std::string First =
      "  3.1 vm-a {\"at_us\":3100000,\"vm\":\"vm-a\",\"event\":"
      "\"endpoint-suspect\",\"endpoint\":\"e7\",\"reason\":\"no-report\"}\n"
      "  4.0 vm-a {\"at_us\":4000000,\"vm\":\"vm-a\",\"event\":"
      "\"path-rejected\",\"request\":\"ab12\",\"status\":503,\"at\":\"e9\","
      "\"address\":\"10.0.0.9:80\"}\n"
      "  4.0 vm-a {\"at_us\":4000001,\"vm\":\"vm-a\",\"event\":"
      "\"request-waits\",\"request\":\"ab12\",\"reason\":\"rejected\","
      "\"at_most_ms\":250}\n"
      "  4.1 vm-a {\"at_us\":4100000,\"vm\":\"vm-a\",\"event\":"
      "\"endpoint-slow\",\"endpoint\":\"e8\",\"pace\":12.000}\n"
      "  4.2 vm-a {\"at_us\":4250000,\"vm\":\"vm-a\",\"event\":"
      "\"request-end\",\"request\":\"ab12\",\"outcome\":\"refused\","
      "\"reason\":\"rejected\",\"status\":503,\"configuration\":7,"
      "\"taken_ms\":260,\"sends\":1,\"planned_fill\":1.1,"
      "\"lines_left_out\":3}\n"
      "no log line {\"at_us\": broken\n";
  const std::string Second =
      "{\"at_us\":3900000,\"vm\":\"vm-b\",\"event\":\"endpoint-suspect\","
      "\"endpoint\":\"e1\",\"reason\":\"told\"}\n"
      "{\"at_us\":3950000,\"vm\":\"vm-a\",\"event\":\"endpoint-leaving\","
      "\"request\":\"other\",\"endpoint\":\"e5\",\"started_at_ms\":1}\n"
      "{\"at_us\":3960000,\"vm\":\"vm-a\",\"event\":\"endpoint-leaving\","
      "\"endpoint\":\"e6\",\"started_at_ms\":1,\"by\":\"vm-b\"}\n"
      "{\"at_us\":4000000,\"vm\":\"vm-b\",\"event\":\"request-end\","
      "\"request\":\"other\"}\n";
  CHECK_EQUAL(0, explain("ab12", {Second, First}));
  expect("+0 ms vm-a: path rejected with 503 by e9 at 10.0.0.9:80");
  expect("waits for capacity at the engines for at most 250 ms");
  expect("+250 ms vm-a: refused, rejected, status 503 after 260 ms");
  expect("planned_fill 1.1");
  expect("-900 ms vm-a: excluded e7 from new paths: no-report");
  expect("+100 ms vm-a: e8 reported 12.0 times its usual pace");
  expect("-50 ms vm-a: e5 is leaving, stated in an answer");
  expect("-40 ms vm-a: e6 is leaving, told by vm-b");
  expect("3 log lines were dropped");
  CHECK(m_Output.str().find("e1 ") == std::string::npos);
  CHECK_EQUAL(1, explain("ffff", {First}));
  CHECK_EQUAL(2, explain("", {First}));
  CHECK_EQUAL(2, explain("a b", {First}));
}

// Guards against refusals whose cause is in the lines about another request:
// the one that the endpoint told that it rests.
TEST(ExplainCommand, ExplainsRefusalBecauseOfRests) {
  const std::string Log =
      "{\"at_us\":3100000,\"vm\":\"vm-a\",\"event\":\"endpoint-rest\","
      "\"request\":\"other\",\"endpoint\":\"e7\",\"started_ms\":1000,"
      "\"rest_ms\":2000}\n"
      "{\"at_us\":4000000,\"vm\":\"vm-a\",\"event\":\"endpoints-resting\","
      "\"request\":\"ab12\",\"service\":\"plain\",\"rest_ms\":1100,"
      "\"retry_after_ms\":1120}\n"
      "{\"at_us\":4000010,\"vm\":\"vm-a\",\"event\":\"request-end\","
      "\"request\":\"ab12\",\"outcome\":\"refused\","
      "\"reason\":\"endpoint-rest\",\"status\":503,\"configuration\":7,"
      "\"taken_ms\":0}\n";
  CHECK_EQUAL(0, explain("ab12", {Log}));
  expect("+0 ms vm-a: only endpoints of plain that asked for no requests are "
         "left, the first one for 1100 ms; the caller may return after 1120");
  expect("refused, endpoint-rest, status 503 after 0 ms");
  expect("-900 ms vm-a: e7 asked for no requests for 2000 ms");
}

PARSLEYRING_TEST_MAIN
