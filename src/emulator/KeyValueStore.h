#ifndef PARSLEYRING_EMULATOR_KEYVALUESTORE_H
#define PARSLEYRING_EMULATOR_KEYVALUESTORE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// In-memory keys, values and sessions with the semantics of the Consul KV API.
/// Not thread-safe.
class KeyValueStore {
public:
  using Time = std::chrono::steady_clock::time_point;

  struct Entry {
    std::string m_Key;
    std::string m_Value;
    std::uint64_t m_CreateIndex = 0;
    std::uint64_t m_ModifyIndex = 0;
    std::uint64_t m_LockIndex = 0;
    std::string m_Session;
  };

  struct Condition {
    /// Expected m_ModifyIndex (check-and-set); 0: the key must be absent.
    std::optional<std::uint64_t> m_ExpectedIndex;
    std::string m_AcquiringSession; ///< Session that locks the key.
    std::string m_ReleasingSession; ///< Session that unlocks the key.
  };

  std::vector<Entry> read(const std::string &Key, bool IsPrefix) const;
  /// Index of the last change of the key, or of any key with the prefix,
  /// deletions included; at least 1.
  std::uint64_t index(const std::string &Key, bool IsPrefix) const;
  bool write(const std::string &Key, const std::string &Value,
             const Condition &Required);
  bool remove(const std::string &Key, bool IsPrefix,
              const std::optional<std::uint64_t> &ExpectedIndex);

  std::string createSession(Time Now, std::chrono::milliseconds TimeToLive,
                            bool DeletesKeys);
  /// Returns false if the session has ended.
  bool renewSession(Time Now, const std::string &Id);
  void endSession(const std::string &Id);
  bool hasSession(const std::string &Id) const;
  void expireSessions(Time Now);

private:
  struct Session {
    std::chrono::milliseconds m_TimeToLive;
    bool m_DeletesKeys = false;
    Time m_ExpiresAt;
  };

  std::map<std::string, Entry> m_Entries;
  /// Index of the last change by key, also of deleted keys.
  std::map<std::string, std::uint64_t> m_LastChangeIndices;
  std::map<std::string, Session> m_Sessions;
  std::uint64_t m_Index = 1;
  std::uint64_t m_NextSession = 1;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_KEYVALUESTORE_H
