#include "admission/MemoryBudget.h"

#include "core/NameTable.h"

#include <algorithm>
#include <iterator>

namespace parsleyring {

static constexpr NameTable<MemoryUse, MemoryUseCount> MemoryUseNames{
    {"connection", "request-head", "request-body", "answer", "output"}};

std::string_view name(MemoryUse Value) { return MemoryUseNames.name(Value); }

// Returning memory walks the whole heap, which is not worth it for less.
static constexpr std::size_t MinTrimBytes = 8 << 20;
static constexpr Duration MinTrimInterval = std::chrono::seconds(5);
// Memory is tight when less than this part of the limit is left, which is the
// part that requests may not take either.
static constexpr std::size_t TightPart = 4;

MemoryBudget::MemoryBudget(std::size_t LimitBytes) : m_Limit(LimitBytes) {}

std::size_t MemoryBudget::requestLimit() const {
  return static_cast<std::size_t>(static_cast<double>(m_Limit) * RequestShare);
}

std::size_t MemoryBudget::limitOfOthers() const {
  return m_Limit - static_cast<std::size_t>(static_cast<double>(m_Limit) *
                                            FirstAnswerShare);
}

std::size_t MemoryBudget::used(MemoryUse Use) const {
  return m_UsedByUse[static_cast<std::size_t>(Use)];
}

bool MemoryBudget::isRequestUse(MemoryUse Use) {
  return Use == MemoryUse::RequestHead || Use == MemoryUse::RequestBody;
}

std::size_t MemoryBudget::requestBytes(const std::string &Client) const {
  auto Found = m_RequestBytesByClient.find(Client);
  return Found == m_RequestBytesByClient.end() ? 0 : Found->second;
}

bool MemoryBudget::isTight() const {
  return m_Used > m_Limit - m_Limit / TightPart;
}

bool MemoryBudget::mayAnswerGrow(const MemoryReservation &Reservation,
                                 std::size_t Bytes) {
  if (Bytes <= SmallRequestBytes || m_FirstAnswer == &Reservation ||
      m_Used + Bytes - Reservation.m_Bytes <= limitOfOthers())
    return true;
  if (m_FirstAnswer)
    return false;
  m_FirstAnswer = &Reservation;
  return true;
}

bool MemoryBudget::mayGrow(const MemoryReservation &Reservation,
                           std::size_t Bytes) {
  std::size_t Growth = Bytes - Reservation.m_Bytes;
  // Compared without a sum, which a huge size would make overflow. Forced
  // growth can have taken m_Used over the limit.
  if (m_Used > m_Limit || Growth > m_Limit - m_Used)
    return false;
  if (Reservation.m_Use == MemoryUse::Answer)
    return mayAnswerGrow(Reservation, Bytes);
  if (!isRequestUse(Reservation.m_Use))
    return true;
  if (m_FirstAnswer && m_Used + Growth > limitOfOthers())
    return false;
  std::size_t RequestBytes =
      used(MemoryUse::RequestHead) + used(MemoryUse::RequestBody);
  std::size_t ClientBytes = requestBytes(Reservation.m_Client);
  bool IsAlone = ClientBytes == RequestBytes;
  std::size_t Available = requestLimit();
  // A client that is alone leaves the last part as well, also with many small
  // requests. Otherwise a client that arrives later would find no room.
  if (IsAlone || Bytes > SmallRequestBytes)
    Available -= static_cast<std::size_t>(static_cast<double>(Available) *
                                          SmallRequestShare);
  if (RequestBytes + Growth > Available)
    return false;
  return IsAlone || ClientBytes + Growth <= Available - RequestBytes - Growth;
}

void MemoryBudget::change(const MemoryReservation &Reservation,
                          std::size_t Bytes) {
  auto Apply = [&](std::size_t &Sum) {
    Sum = Sum - Reservation.m_Bytes + Bytes;
  };
  Apply(m_Used);
  Apply(m_UsedByUse[static_cast<std::size_t>(Reservation.m_Use)]);
  m_PeakSinceTrim = std::max(m_PeakSinceTrim, m_Used);
  if (m_FirstAnswer == &Reservation && Bytes == 0)
    m_FirstAnswer = nullptr;
  if (!isRequestUse(Reservation.m_Use))
    return;
  auto Client = m_RequestBytesByClient.try_emplace(Reservation.m_Client).first;
  Apply(Client->second);
  if (Client->second == 0)
    m_RequestBytesByClient.erase(Client);
}

MemoryReservation *MemoryBudget::stalledRequest(const std::string &Client,
                                                Time Now) {
  std::size_t OwnBytes = requestBytes(Client);
  for (MemoryReservation *Entry : m_Receiving) {
    if (Now - Entry->m_ProgressAt < StallTime)
      return nullptr;
    if (Entry->m_Client == Client || requestBytes(Entry->m_Client) > OwnBytes)
      return Entry;
  }
  return nullptr;
}

bool MemoryBudget::takeTrimRequest(Time Now) {
  if (m_PeakSinceTrim <= MinTrimBytes || m_Used >= m_PeakSinceTrim / 2 ||
      Now - m_TrimmedAt < MinTrimInterval)
    return false;
  m_PeakSinceTrim = m_Used;
  m_TrimmedAt = Now;
  return true;
}

MemoryReservation::MemoryReservation(MemoryBudget &Budget, MemoryUse Use,
                                     std::string Client)
    : m_Budget(Budget), m_Use(Use), m_Client(std::move(Client)) {}

MemoryReservation::~MemoryReservation() {
  endReceipt();
  resize(0);
}

bool MemoryReservation::tryResize(std::size_t Bytes) {
  if (Bytes > m_Bytes && !m_Budget.mayGrow(*this, Bytes))
    return false;
  resize(Bytes);
  return true;
}

void MemoryReservation::resize(std::size_t Bytes) {
  if (Bytes == m_Bytes)
    return;
  bool IsRelease = Bytes < m_Bytes;
  m_Budget.change(*this, Bytes);
  m_Bytes = Bytes;
  if (IsRelease && m_Budget.m_OnRelease)
    m_Budget.m_OnRelease();
}

void MemoryReservation::setClient(const std::string &Client) {
  // Not with resize(), which would report a release.
  std::size_t Bytes = m_Bytes;
  m_Budget.change(*this, 0);
  m_Bytes = 0;
  m_Client = Client;
  resize(Bytes);
}

void MemoryReservation::beginReceipt(Time Now,
                                     std::function<void()> OnRefused) {
  endReceipt();
  m_OnRefused = std::move(OnRefused);
  m_ReceivingEntry =
      m_Budget.m_Receiving.insert(m_Budget.m_Receiving.end(), this);
  setProgress(Now);
}

void MemoryReservation::noteReceived(std::size_t Total, Time Now) {
  if (Total < m_ProgressMark + MemoryBudget::ProgressBytes)
    return;
  m_ProgressMark = Total;
  setProgress(Now);
}

void MemoryReservation::setProgress(Time Now) {
  m_ProgressAt = Now;
  if (!m_ReceivingEntry)
    return;
  auto &Entries = m_Budget.m_Receiving;
  // Nearly always the end, since times rarely lie in the past.
  auto Position = Entries.end();
  while (Position != Entries.begin() &&
         (*std::prev(Position) == this ||
          (*std::prev(Position))->m_ProgressAt > Now))
    --Position;
  Entries.splice(Position, Entries, *m_ReceivingEntry);
}

void MemoryReservation::endReceipt() {
  if (!m_ReceivingEntry)
    return;
  m_Budget.m_Receiving.erase(*m_ReceivingEntry);
  m_ReceivingEntry.reset();
  m_OnRefused = nullptr;
}

void MemoryReservation::refuse() {
  // Copied, since the handler may destroy this object.
  auto Handler = m_OnRefused;
  endReceipt();
  if (Handler)
    Handler();
}

} // namespace parsleyring
