#include "emulator/KeyValueStore.h"

#include <algorithm>

namespace parsleyring {

static bool matches(const std::string &Candidate, const std::string &Key,
                    bool IsPrefix) {
  return IsPrefix ? Candidate.compare(0, Key.size(), Key) == 0
                  : Candidate == Key;
}

std::vector<KeyValueStore::Entry> KeyValueStore::read(const std::string &Key,
                                                      bool IsPrefix) const {
  std::vector<Entry> Found;
  for (auto Next = m_Entries.lower_bound(Key);
       Next != m_Entries.end() && matches(Next->first, Key, IsPrefix); ++Next)
    Found.push_back(Next->second);
  return Found;
}

std::uint64_t KeyValueStore::index(const std::string &Key,
                                   bool IsPrefix) const {
  std::uint64_t Last = 1;
  for (auto Next = m_LastChangeIndices.lower_bound(Key);
       Next != m_LastChangeIndices.end() && matches(Next->first, Key, IsPrefix);
       ++Next)
    Last = std::max(Last, Next->second);
  return Last;
}

bool KeyValueStore::write(const std::string &Key, const std::string &Value,
                          const Condition &Required) {
  auto Found = m_Entries.find(Key);
  bool IsPresent = Found != m_Entries.end();
  if (Required.m_ExpectedIndex &&
      *Required.m_ExpectedIndex !=
          (IsPresent ? Found->second.m_ModifyIndex : 0))
    return false;
  std::string Holder = IsPresent ? Found->second.m_Session : "";
  if (!Required.m_AcquiringSession.empty() && !Holder.empty() &&
      Holder != Required.m_AcquiringSession)
    return false;
  if (!Required.m_ReleasingSession.empty() &&
      Holder != Required.m_ReleasingSession)
    return false;
  Entry &Written = m_Entries[Key];
  Written.m_Key = Key;
  Written.m_Value = Value;
  Written.m_ModifyIndex = m_LastChangeIndices[Key] = ++m_Index;
  if (!IsPresent)
    Written.m_CreateIndex = m_Index;
  if (!Required.m_AcquiringSession.empty() && Holder.empty()) {
    Written.m_Session = Required.m_AcquiringSession;
    ++Written.m_LockIndex;
  }
  if (!Required.m_ReleasingSession.empty())
    Written.m_Session.clear();
  return true;
}

bool KeyValueStore::remove(const std::string &Key, bool IsPrefix,
                           const std::optional<std::uint64_t> &ExpectedIndex) {
  std::vector<Entry> Found = read(Key, IsPrefix);
  if (ExpectedIndex && !Found.empty() &&
      Found[0].m_ModifyIndex != *ExpectedIndex)
    return false;
  for (const Entry &Removed : Found) {
    m_LastChangeIndices[Removed.m_Key] = ++m_Index;
    m_Entries.erase(Removed.m_Key);
  }
  return true;
}

std::string KeyValueStore::createSession(Time Now,
                                         std::chrono::milliseconds TimeToLive,
                                         bool DeletesKeys) {
  std::string Number = std::to_string(m_NextSession++);
  std::string Id = "00000000-0000-4000-8000-" +
                   std::string(12 - Number.size(), '0') + Number;
  m_Sessions[Id] = {TimeToLive, DeletesKeys, Now + TimeToLive};
  return Id;
}

bool KeyValueStore::renewSession(Time Now, const std::string &Id) {
  auto Found = m_Sessions.find(Id);
  if (Found == m_Sessions.end())
    return false;
  Found->second.m_ExpiresAt = Now + Found->second.m_TimeToLive;
  return true;
}

void KeyValueStore::endSession(const std::string &Id) {
  auto Found = m_Sessions.find(Id);
  if (Found == m_Sessions.end())
    return;
  bool DeletesKeys = Found->second.m_DeletesKeys;
  m_Sessions.erase(Found);
  for (Entry &Held : read("", true)) {
    if (Held.m_Session != Id)
      continue;
    if (DeletesKeys) {
      remove(Held.m_Key, false, std::nullopt);
      continue;
    }
    Entry &Released = m_Entries[Held.m_Key];
    Released.m_Session.clear();
    Released.m_ModifyIndex = m_LastChangeIndices[Held.m_Key] = ++m_Index;
  }
}

bool KeyValueStore::hasSession(const std::string &Id) const {
  return m_Sessions.count(Id) > 0;
}

void KeyValueStore::expireSessions(Time Now) {
  std::vector<std::string> Ended;
  for (const auto &[Id, Open] : m_Sessions)
    if (Open.m_ExpiresAt <= Now)
      Ended.push_back(Id);
  for (const std::string &Id : Ended)
    endSession(Id);
}

} // namespace parsleyring
