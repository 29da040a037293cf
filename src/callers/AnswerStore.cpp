#include "callers/AnswerStore.h"

namespace parsleyring {

using Guard = std::lock_guard<std::mutex>;

AnswerStore::AnswerStore(Duration RetentionTime, std::uint64_t MaxKeptBytes)
    : m_RetentionTime(RetentionTime), m_MaxKeptBytes(MaxKeptBytes) {}

std::shared_ptr<Answer>
AnswerStore::create(RequestNumber Request,
                    std::shared_ptr<const CallerPayload> Payload) {
  auto Result = std::make_shared<Answer>(std::move(Payload));
  Guard Lock(m_Mutex);
  m_Entries[Request].m_Answer = Result;
  return Result;
}

std::shared_ptr<Answer> AnswerStore::find(RequestNumber Request) const {
  Guard Lock(m_Mutex);
  auto Found = m_Entries.find(Request);
  return Found == m_Entries.end() ? nullptr : Found->second.m_Answer;
}

void AnswerStore::recordKey(RequestNumber Request, const std::string &Account,
                            const std::string &Key) {
  Guard Lock(m_Mutex);
  auto Found = m_Entries.find(Request);
  if (Found == m_Entries.end())
    return;
  Found->second.m_Key = {Account, Key};
  RequestNumber &Holder = m_ByKey[Found->second.m_Key];
  if (auto Previous = m_Entries.find(Holder); Previous != m_Entries.end())
    Previous->second.m_Key = {};
  Holder = Request;
}

std::shared_ptr<Answer> AnswerStore::findByKey(const std::string &Account,
                                               const std::string &Key) const {
  Guard Lock(m_Mutex);
  auto Found = m_ByKey.find({Account, Key});
  if (Found == m_ByKey.end())
    return nullptr;
  return m_Entries.at(Found->second).m_Answer;
}

void AnswerStore::finish(Time Now, const FinishRequest &End) {
  Guard Lock(m_Mutex);
  auto Found = m_Entries.find(End.m_Request);
  if (Found == m_Entries.end())
    return;
  Entry &Value = Found->second;
  Value.m_Answer->finish(End);
  // The key of a call that was not run can be used again.
  if (End.m_Outcome == Outcome::NotRun && !Value.m_Key.second.empty()) {
    m_ByKey.erase(Value.m_Key);
    Value.m_Key = {};
  }
  m_Ended.push_back({End.m_Request, Now, Value.m_Answer->bytes()});
  m_KeptBytes += m_Ended.back().m_Bytes;
  expireLocked(Now);
}

void AnswerStore::expire(Time Now) {
  Guard Lock(m_Mutex);
  expireLocked(Now);
}

void AnswerStore::expireLocked(Time Now) {
  while (!m_Ended.empty() &&
         (m_KeptBytes > m_MaxKeptBytes ||
          Now - m_Ended.front().m_EndedAt > m_RetentionTime)) {
    const Ended &Oldest = m_Ended.front();
    m_KeptBytes -= Oldest.m_Bytes;
    auto Found = m_Entries.find(Oldest.m_Request);
    if (Found != m_Entries.end()) {
      if (!Found->second.m_Key.second.empty())
        m_ByKey.erase(Found->second.m_Key);
      m_Entries.erase(Found);
    }
    m_Ended.pop_front();
  }
}

std::size_t AnswerStore::size() const {
  Guard Lock(m_Mutex);
  return m_Entries.size();
}

std::uint64_t AnswerStore::keptBytes() const {
  Guard Lock(m_Mutex);
  return m_KeptBytes;
}

} // namespace parsleyring
