#include "gateway/LeavingRecorder.h"

#include "PlatformEndpointProtocol.h"
#include "support/TestMain.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(LeavingRecorder) {
  int m_Pipe[2] = {-1, -1};
  Time m_Now{1000s};
  PlatformEndpointProtocol m_Protocol;
  FleetTable m_Fleet;
  NodeMetrics m_Metrics;

  void setup() override {
    CHECK(pipe(m_Pipe) == 0);
    EndpointEntry Entry;
    Entry.m_Id = "e";
    Entry.m_StartTimeMs = 5;
    m_Fleet.list(Entry, m_Now);
  }
  void teardown() override {
    close(m_Pipe[0]);
    close(m_Pipe[1]);
  }
  /// The log of what Notes does.
  std::string log(const std::function<void(LeavingRecorder &)> &Notes) {
    DecisionLog Log(m_Pipe[1], "vm-0");
    LeavingRecorder Recorder({m_Protocol, m_Fleet, Log, m_Metrics},
                             [this] { return m_Now; });
    Notes(Recorder);
    Log.write(m_Now, "last-line", "", {});
    std::string Text(1 << 16, '\0');
    ssize_t Size = ::read(m_Pipe[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? Size : 0);
    return Text;
  }
  static ResponseHead head(unsigned Status, const char *Value) {
    ResponseHead Head;
    Head.m_Status = Status;
    Head.m_Fields.insert("Server-Leaving", Value);
    return Head;
  }
  bool canServe() const { return m_Fleet.find("e")->canServe(m_Now); }
};

// Guards against answers of some kind that are not read.
TEST(LeavingRecorder, EachAnswerOfTheEndpointCounts) {
  for (unsigned Status : {200U, 202U, 404U, 409U, 429U, 500U, 503U, 504U}) {
    FleetTable::Handle Endpoint = m_Fleet.find("e");
    log([&](LeavingRecorder &Recorder) {
      Recorder.noteAnswer(*Endpoint, head(Status, "1"), "");
    });
    CHECK(!canServe());
    EndpointEntry Next = Endpoint->m_Entry;
    ++Next.m_StartTimeMs;
    m_Fleet.list(Next, m_Now);
    CHECK(canServe());
  }
}

// Guards against another endpoint, which uses the address now, that speaks for
// this one, and against values without a meaning.
TEST(LeavingRecorder, OtherStatementsDoNotCount) {
  std::string Text = log([&](LeavingRecorder &Recorder) {
    Recorder.noteAnswer(*m_Fleet.find("e"), head(421, "1"), "r");
    Recorder.noteAnswer(*m_Fleet.find("e"), head(200, "yes"), "r");
  });
  CHECK(canServe());
  STRCMP_CONTAINS("endpoint-leaving-rejected", Text.c_str());
  CHECK(Text.find("\"endpoint-leaving\"") == std::string::npos);
}

// Guards against an answer to a request of an earlier incarnation that comes
// late and is taken for one of the present incarnation.
TEST(LeavingRecorder, LateAnswerCountsForItsIncarnation) {
  FleetTable::Handle Former = m_Fleet.find("e");
  EndpointEntry Next = Former->m_Entry;
  ++Next.m_StartTimeMs;
  m_Fleet.list(Next, m_Now);
  log([&](LeavingRecorder &Recorder) {
    Recorder.noteAnswer(*Former, head(200, "1"), "r");
  });
  CHECK(canServe());
}

// Guards against a log line and a count for each answer of a leaving endpoint.
TEST(LeavingRecorder, LogsAndCountsOnce) {
  std::string Text = log([&](LeavingRecorder &Recorder) {
    for (int Answer = 0; Answer < 3; ++Answer)
      Recorder.noteAnswer(*m_Fleet.find("e"), head(200, "1"), "r");
    Recorder.noteTold({"e", 5}, "vm-1");
    Recorder.noteTold({"f", 7}, "vm-1");
  });
  STRCMP_CONTAINS("\"event\":\"endpoint-leaving\",\"request\":\"r\","
                  "\"endpoint\":\"e\",\"started_at_ms\":5",
                  Text.c_str());
  STRCMP_CONTAINS("\"endpoint\":\"f\",\"started_at_ms\":7,\"by\":\"vm-1\"",
                  Text.c_str());
  LONGS_EQUAL(3, std::count(Text.begin(), Text.end(), '\n'));
  for (const char *Source : {"answer", "peer"})
    STRCMP_CONTAINS(("parsleyring_endpoints_stated_leaving_total{source=\"" +
                     std::string(Source) + "\"} 1")
                        .c_str(),
                    m_Metrics.text().c_str());
}

PARSLEYRING_TEST_MAIN
