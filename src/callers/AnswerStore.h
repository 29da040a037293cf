#ifndef PARSLEYRING_CALLERS_ANSWERSTORE_H
#define PARSLEYRING_CALLERS_ANSWERSTORE_H

#include "callers/Answer.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace parsleyring {

/// Answers of this VM: all that grow, and ended ones for some time and within
/// a bound on their bytes.
class AnswerStore {
public:
  AnswerStore(Duration KeepTime, std::uint64_t KeepBytes);

  std::shared_ptr<Answer> open(RequestNumber Request,
                               std::shared_ptr<const CallerPayload> Payload);
  /// Null if it is unknown or no longer kept.
  std::shared_ptr<Answer> find(RequestNumber Request) const;

  /// The request was granted the right to run under the key of the account;
  /// repeats are given its answer.
  void noteKey(RequestNumber Request, const std::string &Account,
               const std::string &Key);
  std::shared_ptr<Answer> findByKey(const std::string &Account,
                                    const std::string &Key) const;

  void finish(Time Now, const FinishRequest &End);
  /// Drops ended answers that are too old or beyond the byte bound.
  void expire(Time Now);

  std::size_t size() const;
  std::uint64_t keptBytes() const;

private:
  struct Entry {
    std::shared_ptr<Answer> m_Answer;
    std::pair<std::string, std::string> m_Key; ///< Account, key; or empty.
  };
  struct Ended {
    RequestNumber m_Request = 0;
    Time m_At;
    std::uint64_t m_Bytes = 0;
  };

  void expireLocked(Time Now);

  const Duration m_KeepTime;
  const std::uint64_t m_KeepBytes;
  mutable std::mutex m_Mutex;
  std::unordered_map<RequestNumber, Entry> m_Entries;
  std::map<std::pair<std::string, std::string>, RequestNumber> m_ByKey;
  std::deque<Ended> m_Ended; ///< Oldest first.
  std::uint64_t m_KeptBytes = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_ANSWERSTORE_H
