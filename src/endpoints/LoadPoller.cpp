#include "endpoints/LoadPoller.h"

#include "endpoints/EngineMessages.h"
#include "http/EndpointConnection.h"
#include "http/MessageBytes.h"

#include <algorithm>
#include <functional>

namespace parsleyring {

/// Each unresponsive endpoint blocks one thread until its poll times out.
static constexpr std::size_t PollThreads = 8;
static constexpr std::chrono::milliseconds MaxPollLimit(500);
static constexpr std::size_t MaxReportBytes = 256 * 1024;
/// Older timestamps are raised to this age: bounds the effect of clock skew.
static constexpr std::chrono::seconds MaxReportAge(10);

struct LoadPoller::Entry {
  std::string m_Endpoint;
  PolledEndpoint m_Where;
  Clock::time_point m_DueAt;
  bool m_IsBusy = false;
  /// Reused by later polls. Replaced after a failure, since one connection can
  /// hang forever while new ones work.
  std::unique_ptr<EndpointConnection> m_Connection;
};

LoadPoller::LoadPoller(Duration Interval, Callbacks Sinks)
    : m_Interval(Interval), m_Callbacks(std::move(Sinks)) {
  for (std::size_t Index = 0; Index < PollThreads; ++Index)
    m_Threads.emplace_back([this] { work(); });
}

LoadPoller::~LoadPoller() { stop(); }

void LoadPoller::setEndpoints(
    const std::map<std::string, PolledEndpoint> &Endpoints) {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  std::map<std::string, std::shared_ptr<Entry>> Entries;
  for (const auto &[Endpoint, Where] : Endpoints) {
    auto Found = m_Entries.find(Endpoint);
    if (Found != m_Entries.end() &&
        Found->second->m_Where.m_Address == Where.m_Address) {
      Found->second->m_Where = Where;
      Entries.insert(*Found);
      continue;
    }
    auto Added = std::make_shared<Entry>();
    Added->m_Endpoint = Endpoint;
    Added->m_Where = Where;
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
    for (auto &[Endpoint, Polled] : m_Entries)
      if (Polled->m_Connection)
        Polled->m_Connection->cancel();
  }
  m_Changed.notify_all();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
}

std::shared_ptr<LoadPoller::Entry>
LoadPoller::nextDue(std::unique_lock<std::mutex> &Lock) {
  while (!m_IsStopping) {
    std::shared_ptr<Entry> First;
    for (const auto &[Endpoint, Polled] : m_Entries)
      if (!Polled->m_IsBusy && (!First || Polled->m_DueAt < First->m_DueAt))
        First = Polled;
    if (!First) {
      m_Changed.wait(Lock);
      continue;
    }
    if (First->m_DueAt <= Clock::now())
      return First;
    m_Changed.wait_until(Lock, First->m_DueAt);
  }
  return nullptr;
}

void LoadPoller::work() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (std::shared_ptr<Entry> Polled = nextDue(Lock)) {
    Polled->m_IsBusy = true;
    Polled->m_DueAt = Clock::now() + m_Interval;
    auto Target = parseSocketAddress(Polled->m_Where.m_Address);
    auto Limit = std::min<Duration>(m_Interval, MaxPollLimit);
    if (!Polled->m_Connection && Target) {
      Polled->m_Connection =
          std::make_unique<EndpointConnection>(*Target, Limit);
      Polled->m_Connection->set_keep_alive(true);
    }
    std::string FailureDomain = Polled->m_Where.m_FailureDomain;
    Lock.unlock();
    if (Polled->m_Connection &&
        m_Callbacks.m_IsWanted(Polled->m_Endpoint, FailureDomain))
      poll(*Polled);
    Lock.lock();
    Polled->m_IsBusy = false;
    m_Changed.notify_one();
  }
}

void LoadPoller::poll(Entry &Polled) {
  EndpointConnection &Connection = *Polled.m_Connection;
  Connection.setDeadline(Clock::now() +
                         std::min<Duration>(m_Interval, MaxPollLimit));
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
    bool IsWhole = Connection.call(Request, Response, Error);
    if (m_Callbacks.m_CountBytes)
      m_Callbacks.m_CountBytes(messageBytes(Request, Response, Body.size()));
    if (!IsWhole || Response.status != 200)
      throw MessageError("the endpoint did not return a load report");
    LoadReported Report = parseLoadReport(Body);
    if (Report.m_Endpoint != Polled.m_Endpoint)
      throw MessageError("the load report names another endpoint");
    Time Now = m_Callbacks.m_Now();
    Report.m_ReportedAt = std::min(Report.m_ReportedAt, Now);
    Report.m_ReportedAt = std::max(Report.m_ReportedAt, Now - MaxReportAge);
    m_Callbacks.m_Report(Report);
  } catch (const MessageError &) {
    m_Callbacks.m_Failed(Polled.m_Endpoint);
    std::lock_guard<std::mutex> Guard(m_Mutex);
    Polled.m_Connection.reset();
  }
}

} // namespace parsleyring
