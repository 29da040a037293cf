#ifndef PARSLEYRING_EMULATOR_ENGINEBATCH_H
#define PARSLEYRING_EMULATOR_ENGINEBATCH_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace parsleyring {

/// Continuous batching of an emulated engine: grants slots to requests by
/// priority and limits how many tokens are computed at once. Thread-safe.
class EngineBatch {
public:
  using Clock = std::chrono::system_clock;

  struct Load {
    Clock::time_point m_At;
    std::uint32_t m_Running = 0;
    std::uint32_t m_Waiting = 0;
    bool m_IsDraining = false;
  };

  EngineBatch(std::uint32_t Slots, std::chrono::milliseconds ReportLag);

  /// Adds a request. Returns false if too many requests are waiting.
  bool addRequest(const std::string &Request, int Priority);
  /// Waits until the request has a slot. Returns false once IsWanted() does.
  bool waitForSlot(const std::string &Request,
                   const std::function<bool()> &IsWanted);
  void removeRequest(const std::string &Request);
  /// Removes requests that an earlier stage opened and never closed, because
  /// that engine has ended.
  void removeAbandoned();

  /// Waits until fewer tokens than there are slots are being computed, then
  /// sleeps for Time.
  void compute(const std::string &Request, std::chrono::microseconds Time);

  /// Changes only what the load report says.
  void setReportedDraining(bool IsDraining);
  /// The load as it was m_ReportLag ago.
  Load reportedLoad();

private:
  struct Entry {
    int m_Priority = 0;
    std::uint64_t m_ArrivalOrder = 0;
    bool m_HasSlot = false;
    Clock::time_point m_LastUsedAt;
  };

  // Callers hold m_Mutex.
  void grantSlots();
  void recordLoad();

  const std::uint32_t m_Slots;
  const std::chrono::milliseconds m_ReportLag;
  mutable std::mutex m_Mutex;
  std::condition_variable m_SlotChanged;
  std::map<std::string, Entry> m_Requests;
  std::deque<Load> m_LoadHistory;
  std::uint64_t m_NextArrivalOrder = 0;
  std::uint32_t m_Running = 0;
  std::uint32_t m_ActiveComputations = 0;
  bool m_IsDraining = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_ENGINEBATCH_H
