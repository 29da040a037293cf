#include "emulator/EngineBatch.h"

#include <thread>

namespace parsleyring {

// Requests that may wait for each slot.
static constexpr std::uint32_t MaxWaitingPerSlot = 2;
static constexpr std::chrono::milliseconds CheckInterval{20};
static constexpr std::chrono::seconds AbandonedTimeout{10};

EngineBatch::EngineBatch(std::uint32_t Slots,
                         std::chrono::milliseconds ReportLag)
    : m_Slots(Slots), m_ReportLag(ReportLag) {
  m_LoadHistory.push_back({Clock::now(), 0, 0, false});
}

bool EngineBatch::addRequest(const std::string &Request, int Priority) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Requests.size() >= m_Slots * (1 + MaxWaitingPerSlot))
    return false;
  m_Requests[Request] = {Priority, m_NextArrivalOrder++, false, Clock::now()};
  grantSlots();
  return true;
}

bool EngineBatch::waitForSlot(const std::string &Request,
                              const std::function<bool()> &IsWanted) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_Requests[Request].m_HasSlot) {
    m_SlotChanged.wait_for(Lock, CheckInterval);
    Lock.unlock();
    bool Continue = IsWanted();
    Lock.lock();
    if (!Continue)
      return false;
    m_Requests[Request].m_LastUsedAt = Clock::now();
  }
  return true;
}

void EngineBatch::removeRequest(const std::string &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end())
    return;
  if (Found->second.m_HasSlot)
    --m_Running;
  m_Requests.erase(Found);
  grantSlots();
}

void EngineBatch::removeAbandoned() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Oldest = Clock::now() - AbandonedTimeout;
  for (auto Next = m_Requests.begin(); Next != m_Requests.end();) {
    if (Next->second.m_LastUsedAt >= Oldest) {
      ++Next;
      continue;
    }
    if (Next->second.m_HasSlot)
      --m_Running;
    Next = m_Requests.erase(Next);
  }
  grantSlots();
}

void EngineBatch::compute(const std::string &Request,
                          std::chrono::microseconds Time) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_SlotChanged.wait(Lock, [this] { return m_ActiveComputations < m_Slots; });
  ++m_ActiveComputations;
  if (auto Found = m_Requests.find(Request); Found != m_Requests.end())
    Found->second.m_LastUsedAt = Clock::now();
  Lock.unlock();
  std::this_thread::sleep_for(Time);
  Lock.lock();
  --m_ActiveComputations;
  m_SlotChanged.notify_all();
}

void EngineBatch::setReportedDraining(bool IsDraining) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsDraining = IsDraining;
  recordLoad();
}

EngineBatch::Load EngineBatch::reportedLoad() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto At = Clock::now() - m_ReportLag;
  while (m_LoadHistory.size() > 1 && m_LoadHistory[1].m_At <= At)
    m_LoadHistory.pop_front();
  Load Report = m_LoadHistory.front();
  Report.m_At = At;
  return Report;
}

void EngineBatch::grantSlots() {
  while (m_Running < m_Slots) {
    Entry *Next = nullptr;
    for (auto &[Name, Candidate] : m_Requests) {
      if (Candidate.m_HasSlot)
        continue;
      if (!Next || Candidate.m_Priority > Next->m_Priority ||
          (Candidate.m_Priority == Next->m_Priority &&
           Candidate.m_ArrivalOrder < Next->m_ArrivalOrder))
        Next = &Candidate;
    }
    if (!Next)
      break;
    Next->m_HasSlot = true;
    ++m_Running;
  }
  recordLoad();
  m_SlotChanged.notify_all();
}

void EngineBatch::recordLoad() {
  auto Waiting = static_cast<std::uint32_t>(m_Requests.size()) - m_Running;
  m_LoadHistory.push_back({Clock::now(), m_Running, Waiting, m_IsDraining});
  // Bounds the history when nothing calls reportedLoad().
  auto Oldest = m_LoadHistory.back().m_At - m_ReportLag;
  while (m_LoadHistory.size() > 1 && m_LoadHistory[1].m_At <= Oldest)
    m_LoadHistory.pop_front();
}

} // namespace parsleyring
