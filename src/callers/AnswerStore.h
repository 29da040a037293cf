#ifndef PARSLEYRING_CALLERS_ANSWERSTORE_H
#define PARSLEYRING_CALLERS_ANSWERSTORE_H

#include "callers/Answer.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace parsleyring {

/// Answers of this VM: all that are in progress, and ended ones within limits
/// on their age and total bytes.
class AnswerStore {
public:
  AnswerStore(Duration RetentionTime, std::uint64_t MaxKeptBytes);

  std::shared_ptr<Answer> create(RequestNumber Request,
                                 std::shared_ptr<const CallerPayload> Payload);
  /// Null if the request is unknown or its answer has expired.
  std::shared_ptr<Answer> find(RequestNumber Request) const;

  /// Records that the request was granted the idempotency key of the account:
  /// repeats with the key get its answer.
  void recordKey(RequestNumber Request, const std::string &Account,
                 const std::string &Key);
  std::shared_ptr<Answer> findByKey(const std::string &Account,
                                    const std::string &Key) const;

  void finish(Time Now, const FinishRequest &End);
  /// Removes ended answers that are too old or exceed the byte limit.
  void expire(Time Now);

  std::size_t size() const;
  std::uint64_t keptBytes() const;

private:
  struct Entry {
    std::shared_ptr<Answer> m_Answer;
    std::pair<std::string, std::string>
        m_Key; ///< Account and key; may be empty.
  };
  struct Ended {
    RequestNumber m_Request = 0;
    Time m_EndedAt;
    std::uint64_t m_Bytes = 0;
  };

  void expireLocked(Time Now);

  const Duration m_RetentionTime;
  const std::uint64_t m_MaxKeptBytes;
  mutable std::mutex m_Mutex;
  std::unordered_map<RequestNumber, Entry> m_Entries;
  std::map<std::pair<std::string, std::string>, RequestNumber> m_ByKey;
  std::deque<Ended> m_Ended; ///< Oldest first.
  std::uint64_t m_KeptBytes = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_ANSWERSTORE_H
