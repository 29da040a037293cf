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

/// Continuous batching of an engine: which requests have a slot, and which
/// tokens are computed now. Safe to use from many threads.
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

  /// Takes in a request. Returns false if too many wait already.
  bool open(const std::string &Request, int Priority);
  /// Waits for the request's slot. Returns false once IsWanted does.
  bool waitForSlot(const std::string &Request,
                   const std::function<bool()> &IsWanted);
  void close(const std::string &Request);
  /// Drops requests opened by other engines that went away without closing.
  void dropUnused();

  /// Takes the time given in one of the lanes of the batch, after waiting for
  /// a free lane.
  void compute(const std::string &Request, std::chrono::microseconds Time);

  /// For the load report only.
  void setDraining(bool IsDraining);
  /// The state as it was one report lag ago.
  Load reportedLoad();

private:
  struct Entry {
    int m_Priority = 0;
    std::uint64_t m_Order = 0;
    bool m_HasSlot = false;
    Clock::time_point m_UsedAt;
  };

  // These expect the lock to be held.
  void grantSlots();
  void noteLoad();

  const std::uint32_t m_Slots;
  const std::chrono::milliseconds m_ReportLag;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Entry> m_Requests;
  std::deque<Load> m_History;
  std::uint64_t m_NextOrder = 0;
  std::uint32_t m_Running = 0;
  std::uint32_t m_BusyLanes = 0;
  bool m_IsDraining = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_ENGINEBATCH_H
