#include "support/Eventually.h"
#include "support/FreePort.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include "core/SocketAddress.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Bounds of the platform: the time that the VMs have after the first statement
// of a limit, and the requests that an endpoint may then get in any window.
static constexpr std::chrono::milliseconds StableTime = 3000ms;
static constexpr std::chrono::milliseconds Window = 4000ms;
static int maxRequestsInWindow(double RequestsPerSecond) {
  return static_cast<int>(1.5 * RequestsPerSecond * 4 + 5);
}

namespace {

/// An endpoint that answers at once, and states the limit that is set.
class LimitedEndpoint {
public:
  LimitedEndpoint(FakeMetadataStore &Store, const std::string &Id,
                  const std::string &Service)
      : m_Server([this](const ReceivedCall &Call) { return respond(Call); }) {
    Store.put("servers/" + Id, serverEntry(Service, m_Server.address()));
  }

  /// Sets the text of the header field that states the limit; empty: none.
  void setLimit(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_LimitText = Text;
  }
  int requestsSince(Clock::time_point From) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return static_cast<int>(std::count_if(
        m_Requests.begin(), m_Requests.end(),
        [From](Clock::time_point Arrival) { return Arrival >= From; }));
  }
  /// The most requests in a window that ends at From or later.
  int mostInWindow(Clock::time_point From) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    int Most = 0;
    for (Clock::time_point End : m_Requests) {
      if (End < From)
        continue;
      Most =
          std::max(Most, static_cast<int>(std::count_if(
                             m_Requests.begin(), m_Requests.end(),
                             [End](Clock::time_point Arrival) {
                               return Arrival > End - Window && Arrival <= End;
                             })));
    }
    return Most;
  }

private:
  FakeEndpointAnswer respond(const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.header("Attempt-Id").empty()) {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Requests.push_back(Clock::now());
    if (!m_LimitText.empty())
      Answer.m_Headers["Server-Limit"] = m_LimitText;
    if (Call.m_Path.rfind("/stream/", 0) == 0)
      Answer.m_Chunks = {"id: 1\ndata: only\n\n"};
    return Answer;
  }

  mutable std::mutex m_Mutex;
  std::string m_LimitText;
  std::vector<Clock::time_point> m_Requests;
  FakeEndpoint m_Server;
};

} // namespace

TEST_GROUP(LimitedEndpoint) {
  FakeMetadataStore m_Store;
  std::vector<std::unique_ptr<GatewayProcess>> m_Gateways;
  std::vector<std::thread> m_Callers;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<int> m_Requests{0};
  std::atomic<int> m_Answered{0};
  std::atomic<int> m_Refused{0};
  std::atomic<int> m_RefusedWithoutTime{0};
  std::atomic<int> m_SlowRefusals{0};
  std::atomic<int> m_Other{0};

  void setup() override {
    m_Store.put("op/config", gatewayConfiguration(1));
    // The hosts differ and the port does not, so that digests reach the others.
    GatewayOptions Options;
    Options.m_StoreAddress = m_Store.address();
    FreePort DigestPort("127.0.0.1");
    Options.m_DigestPort = parseSocketAddress(DigestPort.address())->m_Port;
    for (int Number = 1; Number <= 3; ++Number) {
      Options.m_Name = "vm-" + std::to_string(Number);
      Options.m_Host = "127.0.0." + std::to_string(Number);
      m_Gateways.push_back(std::make_unique<GatewayProcess>(Options));
    }
    for (const auto &Gateway : m_Gateways)
      CHECK(Gateway->waitUntilReady());
  }
  void teardown() override {
    m_IsStopping = true;
    for (std::thread &Caller : m_Callers)
      Caller.join();
    m_Gateways.clear();
  }
  void send(const std::string &Path, std::size_t Gateway) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Token-Count", "100,20"},
                         {"Deadline-Ms", "2500"}};
    Clock::time_point SentAt = Clock::now();
    HttpAnswer Reply = sendHttp(m_Gateways[Gateway]->callerAddress(), Request);
    if (Reply.m_Status == 200) {
      ++m_Answered;
      return;
    }
    ++(Reply.m_Status == 503 ? m_Refused : m_Other);
    m_RefusedWithoutTime += Reply.header("Retry-After").empty();
    m_SlowRefusals += Clock::now() - SentAt > 200ms;
  }
  /// Waits until the gateways know the endpoints that were listed last.
  void waitUntilServed(const std::string &Path) {
    for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
      CHECK(eventually([&] {
        int Before = m_Answered;
        send(Path, Gateway);
        return m_Answered > Before;
      }));
    std::this_thread::sleep_for(500ms);
    m_Answered = m_Refused = m_RefusedWithoutTime = m_SlowRefusals = m_Other =
        0;
  }
  /// Starts a caller of each given gateway, with about a request each Interval.
  void startCallers(const std::string &Path,
                    const std::vector<std::size_t> &Gateways,
                    std::chrono::milliseconds Interval) {
    for (std::size_t Gateway : Gateways)
      m_Callers.emplace_back([this, Path, Gateway, Interval] {
        Clock::time_point Next = Clock::now();
        while (!m_IsStopping) {
          send(Path, Gateway);
          Next += Interval;
          std::this_thread::sleep_until(Next);
        }
      });
  }
  /// Checks that an endpoint that limits itself to RequestsPerSecond gets so
  /// many, and that another one takes the rest.
  void checkLimit(const std::string &Service, const std::string &Path,
                  const std::string &Limit, double RequestsPerSecond) {
    LimitedEndpoint Limited(m_Store, "limited", Service);
    LimitedEndpoint Other(m_Store, "other", Service);
    waitUntilServed(Path);
    startCallers(Path, {0, 1, 2}, 40ms);
    std::this_thread::sleep_for(2s);
    Limited.setLimit(Limit);
    Clock::time_point StatedAt = Clock::now();
    std::this_thread::sleep_for(StableTime + 6s);
    int Most = Limited.mostInWindow(StatedAt + StableTime);
    int Late = Limited.requestsSince(StatedAt + StableTime);
    std::string Message =
        std::to_string(Most) + " requests in a window, allowed " +
        std::to_string(maxRequestsInWindow(RequestsPerSecond)) + "; " +
        std::to_string(Late) + " in the last 6 s; " +
        std::to_string(m_Answered) + " answered, " + std::to_string(m_Refused) +
        " refused, " + std::to_string(m_Other) + " other answers";
    // The callers must stop while the endpoints still exist.
    m_IsStopping = true;
    for (std::thread &Caller : m_Callers)
      Caller.join();
    m_Callers.clear();
    CHECK_TEXT(Most <= maxRequestsInWindow(RequestsPerSecond), Message.c_str());
    CHECK_TEXT(Late >= RequestsPerSecond * 6 / 2, Message.c_str());
    CHECK_TEXT(m_Refused == 0 && m_Other == 0, Message.c_str());
  }
};

// Guards against streams that begin at an engine more often than the limit
// that it states, summed over all VMs, while another engine has capacity.
TEST(LimitedEndpoint, EngineGetsNoMoreThanItsLimit) {
  checkLimit("model", "/stream/a", "6.0", 6);
}

// Guards against the same at an endpoint of a plain service.
TEST(LimitedEndpoint, PlainEndpointGetsNoMoreThanItsLimit) {
  checkLimit("plain", "/once/a", "6", 6);
}

// Guards against VMs that each send at least one request in a window, or none:
// the share of a VM is a third of a request per second.
TEST(LimitedEndpoint, LimitBelowOneRequestPerSecondAndVM) {
  checkLimit("plain", "/repeat/a", "1", 1);
}

// Guards against callers that wait for nothing, or are not told when to come
// back, when all endpoints are limited; and against endpoints that stay limited
// when they no longer say so.
TEST(LimitedEndpoint, CallersAreRefusedAtOnceWhenNothingIsLeft) {
  LimitedEndpoint First(m_Store, "first", "model");
  LimitedEndpoint Second(m_Store, "second", "model");
  waitUntilServed("/stream/a");
  First.setLimit("4");
  Second.setLimit("4");
  startCallers("/stream/a", {0, 1, 2}, 50ms);
  std::this_thread::sleep_for(StableTime);
  int AnsweredBefore = m_Answered;
  std::this_thread::sleep_for(Window);
  int Answered = m_Answered - AnsweredBefore;
  First.setLimit("");
  Second.setLimit("");
  std::this_thread::sleep_for(3s);
  int RefusedBefore = m_Refused;
  std::this_thread::sleep_for(1s);
  int RefusedAfterwards = m_Refused - RefusedBefore;
  m_IsStopping = true;
  for (std::thread &Caller : m_Callers)
    Caller.join();
  m_Callers.clear();
  std::string Message = std::to_string(Answered) + " answered in a window, " +
                        std::to_string(m_Refused) + " refused, " +
                        std::to_string(m_RefusedWithoutTime) +
                        " without a time, " + std::to_string(m_SlowRefusals) +
                        " late, " + std::to_string(RefusedAfterwards) +
                        " afterwards, " + std::to_string(m_Other) +
                        " other answers";
  CHECK_TEXT(m_Refused > 0, Message.c_str());
  CHECK_TEXT(Answered <= 2 * maxRequestsInWindow(4), Message.c_str());
  CHECK_TEXT(Answered >= 2 * 4 * 4 / 2, Message.c_str());
  CHECK_TEXT(m_RefusedWithoutTime == 0, Message.c_str());
  CHECK_TEXT(m_SlowRefusals == 0, Message.c_str());
  CHECK_TEXT(m_Other == 0, Message.c_str());
  CHECK_TEXT(RefusedAfterwards == 0, Message.c_str());
}

PARSLEYRING_TEST_MAIN
