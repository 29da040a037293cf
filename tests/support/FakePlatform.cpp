#include "support/FakePlatform.h"

namespace parsleyring {

static constexpr std::size_t MaxValueBytes = 1 << 20;

void FakePlatform::failIfDown() const {
  if (m_IsDown)
    throw PlatformError(PlatformError::Kind::NoEffect, "platform is down");
}

std::optional<PlatformValue> FakePlatform::read(const std::string &Key) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  failIfDown();
  ++m_Reads;
  auto Found = m_Values.find(Key);
  if (Found == m_Values.end())
    return std::nullopt;
  m_Bytes += Found->second.m_Value.size();
  return Found->second;
}

PlatformClient::WatchResult FakePlatform::watch(const std::string &Key,
                                                std::uint64_t After,
                                                Duration Wait) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  failIfDown();
  ++m_Reads;
  // An absent key has no modify index; the index of the service is used.
  auto IndexOf = [&] {
    auto Found = m_Values.find(Key);
    return Found == m_Values.end() ? m_Index : Found->second.m_ModifyIndex;
  };
  m_Changed.wait_for(Lock, Wait, [&] { return m_IsDown || IndexOf() > After; });
  failIfDown();
  WatchResult Result;
  Result.m_Index = IndexOf();
  auto Found = m_Values.find(Key);
  if (Found == m_Values.end())
    return Result;
  Result.m_Value = Found->second;
  m_Bytes += Found->second.m_Value.size();
  return Result;
}

bool FakePlatform::write(const std::string &Key,
                         const std::optional<std::string> &Value,
                         std::uint64_t Expected) {
  std::function<void()> Hook;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    failIfDown();
    auto Found = m_Hooks.find(Key);
    if (Found != m_Hooks.end()) {
      Hook = std::move(Found->second);
      m_Hooks.erase(Found);
    }
  }
  if (Hook)
    Hook();
  std::lock_guard<std::mutex> Lock(m_Mutex);
  failIfDown();
  ++m_Writes;
  if (Value && Value->size() > MaxValueBytes)
    throw PlatformError(PlatformError::Kind::NoEffect, "value above 1 MB");
  if (m_LostWrites > 0) {
    --m_LostWrites;
    throw PlatformError(PlatformError::Kind::Unknown, "the write was lost");
  }
  auto Found = m_Values.find(Key);
  std::uint64_t Current =
      Found == m_Values.end() ? 0 : Found->second.m_ModifyIndex;
  bool IsSwapped = Current == Expected;
  if (IsSwapped) {
    ++m_Index;
    if (Value)
      m_Values[Key] = {*Value, m_Index};
    else if (Current != 0)
      m_Values.erase(Found);
    m_Bytes += Value ? Value->size() : 0;
    m_Changed.notify_all();
  }
  if (m_LostAnswers > 0) {
    --m_LostAnswers;
    throw PlatformError(PlatformError::Kind::Unknown,
                        "the answer to the write was lost");
  }
  return IsSwapped;
}

bool FakePlatform::compareAndSwap(const std::string &Key,
                                  const std::string &Value,
                                  std::uint64_t Expected) {
  return write(Key, Value, Expected);
}

bool FakePlatform::remove(const std::string &Key, std::uint64_t Expected) {
  return write(Key, std::nullopt, Expected);
}

void FakePlatform::put(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Values[Key] = {Value, ++m_Index};
  m_Changed.notify_all();
}

void FakePlatform::setOutage(bool IsDown) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsDown = IsDown;
  m_Changed.notify_all();
}

void FakePlatform::loseAnswers(unsigned Writes) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LostAnswers = Writes;
}

void FakePlatform::loseWrites(unsigned Writes) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LostWrites = Writes;
}

void FakePlatform::beforeNextWrite(const std::string &Key,
                                   std::function<void()> Hook) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Hooks[Key] = std::move(Hook);
}

std::uint64_t FakePlatform::reads() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Reads;
}

std::uint64_t FakePlatform::writes() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Writes;
}

std::uint64_t FakePlatform::bytesTransferred() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Bytes;
}

} // namespace parsleyring
