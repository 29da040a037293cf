#include "support/CrowdTrial.h"

#include "support/Eventually.h"
#include "support/HttpCalls.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

#include <CppUTest/TestHarness.h>

namespace parsleyring {

// An idle process uses about 10 MB. Lower than the memory of any VM, so that
// a small crowd shows the fault.
static constexpr int MemoryMb = 48;
static constexpr std::size_t MemoryBytes = std::size_t(MemoryMb) << 20;
// Half of the 200 sockets are for callers. That is more than the clients of
// each crowd that is about memory, so the limit of connections does not hide
// the use of memory.
static constexpr int MaxDescriptors = 400;
static constexpr std::size_t MaxSockets = MaxDescriptors - 200;
// Half of the memory is given out for requests and responses, so the other half
// must hold the process once they have ended.
static constexpr std::size_t MaxIdleBytes = MemoryBytes / 2;
// Connections to the endpoint are kept for later requests.
static constexpr std::size_t KeptDescriptors = 8;
// The kernel holds a whole body that the process has not read yet. Each request
// takes some rounds of the event loop, and a body of 1 MiB 64 rounds.
static constexpr int SettlingRequests = 32;
static constexpr std::size_t LargeAnswerBytes = 4 << 20;
static constexpr std::size_t LargeChunkBytes = 64 << 10;
static constexpr std::size_t Endless =
    std::numeric_limits<std::size_t>::max() / 2;

static FakeEndpointAnswer answerByPath(const ReceivedCall &Call) {
  FakeEndpointAnswer Answer;
  Answer.m_Body =
      Call.m_Path == "/once/large" ? std::string(LargeAnswerBytes, 'a') : "ok";
  return Answer;
}

/// The crowd has an account of its own.
static std::string configuration() {
  auto Root = nlohmann::json::parse(gatewayConfiguration(1));
  Root["limits"]["max_body_bytes"] = CrowdTrial::MaxBodyBytes;
  Root["tenants"].push_back({{"name", "crowd"}, {"api_keys", {"key-crowd"}}});
  return Root.dump();
}

CrowdTrial::CrowdTrial() : m_Endpoint(answerByPath) {}

void CrowdTrial::start() {
  m_Store.put("op/config", configuration());
  m_Store.put("servers/e1", serverEntry("plain", m_Endpoint.address()));
  GatewayOptions Options{"vm-0", m_Store.address(), {}};
  Options.m_MemoryMegabytes = MemoryMb;
  Options.m_MaxDescriptors = MaxDescriptors;
  m_Gateway = std::make_unique<GatewayProcess>(Options);
  CHECK(m_Gateway->waitUntilReady());
  CHECK(eventually([this] { return isOrdinaryRequestAnswered(); }));
}

bool CrowdTrial::isOrdinaryRequestAnswered() {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/once/a";
  Request.m_Body = "the body";
  Request.m_Headers = {{"Host", "host"},
                       {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                       {"Authorization", "Bearer key-1"}};
  return sendHttp(m_Gateway->callerAddress(), Request).m_Status == 200;
}

void CrowdTrial::startCrowd(const std::vector<CrowdPlan> &Plans) {
  m_Monitor = std::make_unique<ProcessMonitor>(m_Gateway->process().pid());
  m_Crowd = std::make_unique<ClientCrowd>(Plans);
  CHECK(eventually([this] { return m_Crowd->hasActed(); }));
}

static void checkAtMost(const char *What, std::size_t Limit,
                        std::size_t Value) {
  if (Value > Limit)
    FAIL(StringFromFormat("%s: %zu, limit %zu", What, Value, Limit)
             .asCharString());
}

void CrowdTrial::checkBounds() {
  // Read here as well, since the last sample may be older than the crowd.
  pid_t Pid = m_Gateway->process().pid();
  checkAtMost("resident bytes", MemoryBytes,
              std::max(m_Monitor->maxResidentBytes(), residentBytes(Pid)));
  checkAtMost("open sockets", MaxSockets,
              std::max(m_Monitor->maxOpenSockets(), openSockets(Pid)));
}

void CrowdTrial::checkCrowd(const std::vector<CrowdPlan> &Plans) {
  pid_t Pid = m_Gateway->process().pid();
  std::size_t Before = openDescriptors(Pid);
  startCrowd(Plans);
  // Connections are accepted in order, so a listener that answers has accepted
  // its part of the crowd.
  CHECK(m_Gateway->waitUntilReady());
  CHECK(eventually([this] {
    return sendHttp(m_Gateway->peerAddress(), {"GET", "/"}).m_Status != 0;
  }));
  CHECK(eventually([this] { return isOrdinaryRequestAnswered(); }));
  for (int Request = 0; Request < SettlingRequests; ++Request)
    isOrdinaryRequestAnswered();
  checkBounds();
  m_Crowd.reset();
  CHECK(eventually([this] { return isOrdinaryRequestAnswered(); }));
  CHECK(eventually(
      [&] { return openDescriptors(Pid) <= Before + KeptDescriptors; }));
  CHECK(eventually([&] { return residentBytes(Pid) <= MaxIdleBytes; }));
  CHECK(m_Gateway->process().isRunning());
  checkBounds();
}

void CrowdTrial::checkStop(const std::vector<CrowdPlan> &Plans) {
  ProcessRunner &Process = m_Gateway->process();
  startCrowd(Plans);
  Process.terminate();
  // The platform kills the process at this time.
  if (!eventually([&] { return !Process.isRunning(); },
                  GatewayProcess::ShutdownTimeout))
    Process.kill();
  LONGS_EQUAL(0, Process.waitForExit().value_or(-1));
  checkBounds();
}

CrowdPlan CrowdTrial::plan(unsigned Clients, const std::string &Fields) const {
  return {Clients, m_Gateway->callerAddress(),
          "POST /once/large HTTP/1.1\r\nHost: host\r\nAttempt-Id: crowd-%\r\n"
          "Authorization: Bearer key-crowd\r\n" +
              Fields};
}

static std::string chunk(std::size_t Size) {
  return StringFromFormat("%zx\r\n", Size).asCharString() +
         std::string(Size, 'x') + "\r\n";
}

/// Copies of a text of about 64 KiB, so that few system calls are needed.
static std::string copies(const std::string &Text) {
  std::string All;
  while (All.size() < LargeChunkBytes)
    All += Text;
  return All;
}

CrowdPlan CrowdTrial::stalledLargeChunks(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "Transfer-Encoding: chunked\r\n\r\n");
  Plan.m_Repeated = chunk(LargeChunkBytes);
  Plan.m_RepeatedBytes =
      MaxBodyBytes / LargeChunkBytes * Plan.m_Repeated.size();
  return Plan;
}

CrowdPlan CrowdTrial::stalledSmallChunks(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "Transfer-Encoding: chunked\r\n\r\n");
  Plan.m_Repeated = copies(chunk(1));
  Plan.m_RepeatedBytes = MaxBodyBytes * chunk(1).size();
  return Plan;
}

CrowdPlan CrowdTrial::announcedOversizedBody(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "Content-Length: 4000000000\r\n\r\n");
  Plan.m_Repeated = copies("x");
  Plan.m_RepeatedBytes = Endless;
  return Plan;
}

CrowdPlan CrowdTrial::endlessBody(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "Transfer-Encoding: chunked\r\n\r\n");
  Plan.m_Repeated = chunk(LargeChunkBytes);
  Plan.m_RepeatedBytes = Endless;
  return Plan;
}

CrowdPlan CrowdTrial::endlessHead(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "");
  Plan.m_Repeated = copies("a: b\r\n");
  Plan.m_RepeatedBytes = Endless;
  return Plan;
}

CrowdPlan CrowdTrial::endlessChunkLine(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "Transfer-Encoding: chunked\r\n\r\n1;");
  Plan.m_Repeated = copies("x");
  Plan.m_RepeatedBytes = Endless;
  return Plan;
}

CrowdPlan CrowdTrial::idleConnections(unsigned Clients) const {
  return {Clients, m_Gateway->callerAddress()};
}

CrowdPlan CrowdTrial::halfHeads(unsigned Clients) const {
  return plan(Clients, "");
}

CrowdPlan CrowdTrial::slowReaders(unsigned Clients) const {
  CrowdPlan Plan = plan(Clients, "Content-Length: 0\r\n\r\n");
  Plan.m_Reads = false;
  return Plan;
}

std::vector<CrowdPlan>
CrowdTrial::idleAtOtherListeners(unsigned Clients) const {
  return {{Clients, m_Gateway->readyAddress()},
          {Clients, m_Gateway->peerAddress()}};
}

} // namespace parsleyring
