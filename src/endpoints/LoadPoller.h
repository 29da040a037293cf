#ifndef PARSLEYRING_ENDPOINTS_LOADPOLLER_H
#define PARSLEYRING_ENDPOINTS_LOADPOLLER_H

#include "parsleyring/Events.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

class EndpointConnection;

struct PolledEndpoint {
  std::string m_Address;
  std::string m_FailureDomain;
};

/// Requests load reports from endpoints at a fixed interval, on several
/// threads.
class LoadPoller {
public:
  struct Callbacks {
    std::function<Time()> m_Now;
    /// Whether this VM is to poll; false if another VM polls the endpoint now.
    std::function<bool(const std::string &Endpoint,
                       const std::string &FailureDomain)>
        m_ShouldPoll;
    std::function<void(const LoadReported &)> m_OnReport;
    std::function<void(const std::string &Endpoint)> m_OnFailure;
    /// Gets the bytes of each poll and its answer; may be empty.
    std::function<void(std::uint64_t Bytes)> m_CountBytes;
  };

  LoadPoller(Duration Interval, Callbacks PollCallbacks);
  ~LoadPoller();

  /// Replaces the polled endpoints; the keys are endpoint names.
  void setEndpoints(const std::map<std::string, PolledEndpoint> &Endpoints);
  void stop();

private:
  using Clock = std::chrono::steady_clock;
  struct Entry;

  void runWorker();
  std::shared_ptr<Entry> nextDue(std::unique_lock<std::mutex> &Lock);
  void poll(Entry &PolledEntry);

  const Duration m_Interval;
  const Callbacks m_Callbacks;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::shared_ptr<Entry>> m_Entries;
  bool m_IsStopping = false;
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_LOADPOLLER_H
