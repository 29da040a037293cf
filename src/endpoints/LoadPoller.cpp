#include "endpoints/LoadPoller.h"

#include "endpoints/EngineMessages.h"
#include "http/EndpointConnection.h"
#include "http/MessageBytes.h"

#include <algorithm>
#include <functional>

namespace parsleyring {

/// Each unresponsive endpoint blocks one thread until its poll times out.
static constexpr std::size_t PollThreadCount = 8;
static constexpr std::chrono::milliseconds MaxPollTimeout(500);
static constexpr std::size_t MaxReportBytes = 256 * 1024;
/// Reports that seem older are treated as this old, which bounds the effect of
/// wrong clocks.
static constexpr std::chrono::seconds MaxReportAge(10);

struct LoadPoller::Entry {
  std::string m_Endpoint;
  PolledEndpoint m_Location;
  Clock::time_point m_DueAt;
  bool m_IsBusy = false;
  /// Reused by later polls. Replaced after a failure, since one connection can
  /// hang forever while new ones work.
  std::unique_ptr<EndpointConnection> m_Connection;
};

LoadPoller::LoadPoller(Duration Interval, Callbacks PollCallbacks)
    : m_Interval(Interval), m_Callbacks(std::move(PollCallbacks)) {
  for (std::size_t Index = 0; Index < PollThreadCount; ++Index)
    m_Threads.emplace_back([this] { runWorker(); });
}

LoadPoller::~LoadPoller() { stop(); }

void LoadPoller::setEndpoints(
    const std::map<std::string, PolledEndpoint> &Endpoints) {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  std::map<std::string, std::shared_ptr<Entry>> Entries;
  for (const auto &[Endpoint, Location] : Endpoints) {
    auto Found = m_Entries.find(Endpoint);
    if (Found != m_Entries.end() &&
        Found->second->m_Location.m_Address == Location.m_Address) {
      Found->second->m_Location = Location;
      Entries.insert(*Found);
      continue;
    }
    auto Added = std::make_shared<Entry>();
    Added->m_Endpoint = Endpoint;
    Added->m_Location = Location;
    Added->m_DueAt = Clock::now();
    Entries.emplace(Endpoint, std::move(Added));
  }
  m_Entries = std::move(Entries);
  m_Changed.notify_all();
}

void LoadPoller::stop() {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_IsStopping = true;
    for (auto &[Endpoint, PolledEntry] : m_Entries)
      if (PolledEntry->m_Connection)
        PolledEntry->m_Connection->cancel();
  }
  m_Changed.notify_all();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
}

std::shared_ptr<LoadPoller::Entry>
LoadPoller::nextDue(std::unique_lock<std::mutex> &Lock) {
  while (!m_IsStopping) {
    std::shared_ptr<Entry> Earliest;
    for (const auto &[Endpoint, PolledEntry] : m_Entries)
      if (!PolledEntry->m_IsBusy &&
          (!Earliest || PolledEntry->m_DueAt < Earliest->m_DueAt))
        Earliest = PolledEntry;
    if (!Earliest) {
      m_Changed.wait(Lock);
      continue;
    }
    if (Earliest->m_DueAt <= Clock::now())
      return Earliest;
    m_Changed.wait_until(Lock, Earliest->m_DueAt);
  }
  return nullptr;
}

void LoadPoller::runWorker() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (std::shared_ptr<Entry> PolledEntry = nextDue(Lock)) {
    PolledEntry->m_IsBusy = true;
    PolledEntry->m_DueAt = Clock::now() + m_Interval;
    auto Target = parseSocketAddress(PolledEntry->m_Location.m_Address);
    auto Timeout = std::min<Duration>(m_Interval, MaxPollTimeout);
    if (!PolledEntry->m_Connection && Target) {
      PolledEntry->m_Connection =
          std::make_unique<EndpointConnection>(*Target, Timeout);
      PolledEntry->m_Connection->set_keep_alive(true);
    }
    std::string FailureDomain = PolledEntry->m_Location.m_FailureDomain;
    Lock.unlock();
    if (PolledEntry->m_Connection &&
        m_Callbacks.m_ShouldPoll(PolledEntry->m_Endpoint, FailureDomain))
      poll(*PolledEntry);
    Lock.lock();
    PolledEntry->m_IsBusy = false;
    m_Changed.notify_one();
  }
}

void LoadPoller::poll(Entry &PolledEntry) {
  EndpointConnection &Connection = *PolledEntry.m_Connection;
  Connection.setDeadline(Clock::now() +
                         std::min<Duration>(m_Interval, MaxPollTimeout));
  std::string Body;
  httplib::Request Request;
  Request.method = "GET";
  Request.path = "/load";
  Request.content_receiver = [&Body](const char *Data, size_t Size,
                                     std::uint64_t, std::uint64_t) {
    Body.append(Data, Size);
    return Body.size() <= MaxReportBytes;
  };
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  try {
    bool IsComplete = Connection.call(Request, Response, Error);
    if (m_Callbacks.m_CountBytes)
      m_Callbacks.m_CountBytes(messageBytes(Request, Response, Body.size()));
    if (!IsComplete || Response.status != 200)
      throw MessageError("the endpoint did not return a load report");
    LoadReported Report = parseLoadReport(Body);
    if (Report.m_Endpoint != PolledEntry.m_Endpoint)
      throw MessageError("the load report names another endpoint");
    Time Now = m_Callbacks.m_Now();
    Report.m_ReportedAt = std::min(Report.m_ReportedAt, Now);
    Report.m_ReportedAt = std::max(Report.m_ReportedAt, Now - MaxReportAge);
    m_Callbacks.m_OnReport(Report);
  } catch (const MessageError &) {
    m_Callbacks.m_OnFailure(PolledEntry.m_Endpoint);
    std::lock_guard<std::mutex> Guard(m_Mutex);
    PolledEntry.m_Connection.reset();
  }
}

} // namespace parsleyring
