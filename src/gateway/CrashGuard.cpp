#include "gateway/CrashGuard.h"

#include <charconv>

namespace parsleyring {

// Followed by the engine and the VM that reports the crash.
static const std::string CrashPrefix = "parsleyring/engine-crashes/";
// Followed by a part that left the quarantine since a prompt with it was
// answered; the value is the time of the answer.
static const std::string AnswerPrefix = "parsleyring/answered-prompt-parts/";

// Bounds the size of an item.
static constexpr std::size_t MaxSuspects = 200;

// An id may be used again by a later incarnation.
static std::string incarnationOf(const EndpointEntry &Entry) {
  return Entry.m_Id + "@" + std::to_string(Entry.m_StartTimeMs);
}

static std::optional<Time> parseTime(const std::string &Text) {
  std::int64_t Microseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Microseconds);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Time(Duration(Microseconds));
}

CrashGuard::CrashGuard(Dependencies Used, std::string VM,
                       std::string StoreAddress, std::function<Time()> Now,
                       CrashHandler OnCrash)
    : m_Log(Used.m_Log), m_Metrics(Used.m_Metrics), m_VM(std::move(VM)),
      m_Now(std::move(Now)), m_OnCrash(std::move(OnCrash)),
      m_Detector(
          Used.m_Loop, Used.m_EndpointClient, Used.m_EndpointProtocol, m_Now,
          [this](const CrashDetector::Crash &Seen) { handleCrash(Seen); }),
      m_Writer(Used.m_Loop, Used.m_StoreClient, Used.m_StoreProtocol,
               std::move(StoreAddress),
               [this](const std::string &Key, unsigned Status) {
                 m_Log.write(m_Now(), "store-write-rejected", "",
                             {{"key", Key}, {"status", std::int64_t(Status)}});
               }) {}

std::string CrashGuard::crashKey(const std::string &Endpoint) const {
  return CrashPrefix + Endpoint + "/" + m_VM;
}

void CrashGuard::write(const std::string &Key, const std::string &Value) {
  m_OwnItems[Key] = {Value, m_Now()};
  m_Writer.put(Key, Value);
}

void CrashGuard::handleCrash(const CrashDetector::Crash &Seen) {
  EndpointCrash Crash;
  Crash.m_Endpoint = incarnationOf(Seen.m_Endpoint->m_Entry);
  Crash.m_At = Seen.m_At;
  // Those that were never answered first, since they are the likelier causes.
  for (bool WereAnswered : {false, true})
    for (const auto &[Suspect, Requests] : Seen.m_CutOffs)
      if (m_Quarantine.wasAnswered(Suspect) == WereAnswered &&
          Crash.m_Suspects.size() < MaxSuspects)
        Crash.m_Suspects.push_back(
            {Suspect, Requests.m_Requests, WereAnswered, Requests.m_SentAt});
  if (Seen.m_IsNew) {
    m_Metrics.countEndpointCrash();
    m_Log.write(m_Now(), "endpoint-crashed", "",
                {{"endpoint", Seen.m_Endpoint->m_Entry.m_Id},
                 {"suspects", std::int64_t(Crash.m_Suspects.size())}});
  }
  if (!Crash.m_Suspects.empty()) {
    write(crashKey(Crash.m_Endpoint), Crash.encode());
    m_Quarantine.addCrash(m_VM, std::move(Crash));
    update();
  }
  if (Seen.m_IsNew)
    m_OnCrash(Seen.m_Endpoint);
}

void CrashGuard::noteAnswer(const std::vector<std::string> &Suspects) {
  Time Now = m_Now();
  for (const std::string &Suspect : Suspects) {
    // A VM that refuses the requests cannot see that they are harmless.
    if (m_Quarantine.isAnswerNews(Suspect))
      write(AnswerPrefix + Suspect,
            std::to_string(Now.time_since_epoch().count()));
    m_Quarantine.noteAnswer(Suspect, Now);
  }
  update();
}

void CrashGuard::update() {
  Time Now = m_Now();
  for (const CrashQuarantine::Change &Each : m_Quarantine.update(Now))
    m_Log.write(
        Now, Each.m_IsQuarantined ? "suspect-quarantined" : "suspect-released",
        "",
        {{"suspect", Each.m_Suspect},
         {"crashes", std::int64_t(Each.m_Crashes)}});
  m_Metrics.setQuarantinedSuspects(m_Quarantine.size());
}

void CrashGuard::tick(bool IsLeader) {
  m_Detector.expire();
  update();
  Time Now = m_Now();
  for (auto Own = m_OwnItems.begin(); Own != m_OwnItems.end();) {
    bool IsOld = Now - Own->second.second > CrashQuarantine::Memory;
    Own = IsOld ? m_OwnItems.erase(Own) : std::next(Own);
  }
  if (!IsLeader)
    return;
  for (auto Item = m_StoredItems.begin(); Item != m_StoredItems.end();) {
    bool IsOld = Now - Item->second > CrashQuarantine::Memory;
    if (IsOld)
      m_Writer.remove(Item->first);
    Item = IsOld ? m_StoredItems.erase(Item) : std::next(Item);
  }
}

void CrashGuard::itemChanged(const StoreItem &Item) {
  if (hasPrefix(Item.m_Key, CrashPrefix)) {
    std::optional<EndpointCrash> Crash = EndpointCrash::parse(Item.m_Value);
    std::size_t Slash = Item.m_Key.rfind('/');
    if (!Crash) {
      m_Log.write(m_Now(), "endpoint-crash-rejected", "",
                  {{"key", Item.m_Key}});
      return;
    }
    m_StoredItems[Item.m_Key] = Crash->m_At;
    m_Quarantine.addCrash(Item.m_Key.substr(Slash + 1), std::move(*Crash));
  } else if (hasPrefix(Item.m_Key, AnswerPrefix)) {
    std::optional<Time> AnsweredAt = parseTime(Item.m_Value);
    if (!AnsweredAt) {
      m_Log.write(m_Now(), "endpoint-crash-rejected", "",
                  {{"key", Item.m_Key}});
      return;
    }
    m_StoredItems[Item.m_Key] = *AnsweredAt;
    m_Quarantine.noteAnswer(Item.m_Key.substr(AnswerPrefix.size()),
                            *AnsweredAt);
  }
}

void CrashGuard::itemDeleted(const std::string &Key) {
  m_StoredItems.erase(Key);
  if (!hasPrefix(Key, CrashPrefix))
    return;
  std::size_t Slash = Key.rfind('/');
  m_Quarantine.removeCrash(
      Key.substr(Slash + 1),
      Key.substr(CrashPrefix.size(), Slash - CrashPrefix.size()));
}

void CrashGuard::itemsReloaded(const std::map<std::string, StoreItem> &Items,
                               bool IsRestored) {
  if (IsRestored) {
    // Missing items of other VMs stay known, since these write them again.
    for (const auto &[Key, Own] : m_OwnItems)
      if (!Items.count(Key))
        m_Writer.put(Key, Own.first);
    return;
  }
  std::vector<std::string> Deleted;
  for (const auto &[Key, At] : m_StoredItems)
    if (!Items.count(Key))
      Deleted.push_back(Key);
  for (const std::string &Key : Deleted)
    itemDeleted(Key);
}

} // namespace parsleyring
