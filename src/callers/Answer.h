#ifndef PARSLEYRING_CALLERS_ANSWER_H
#define PARSLEYRING_CALLERS_ANSWER_H

#include "callers/CallerPayload.h"
#include "membership/PeerNetwork.h"
#include "parsleyring/Actions.h"

#include <condition_variable>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>

namespace parsleyring {

/// Answer to one request, during generation and while it is retained. Written
/// by the router loop, read by any number of waiting threads.
class Answer {
public:
  explicit Answer(std::shared_ptr<const CallerPayload> Payload);

  const std::string &requestId() const { return m_RequestId; }
  const std::string &accountKeySha256() const { return m_AccountKeySha256; }
  /// Null after the end: prompts are not retained.
  std::shared_ptr<const CallerPayload> payload() const;

  /// Throws std::logic_error if Position is not the next one or the answer has
  /// ended.
  void appendToken(std::uint32_t Position, std::string Text);
  void setFinishReason(std::string Reason);
  void setServiceAnswer(ServiceAnswer Value);
  void finish(const FinishRequest &End);

  std::vector<std::string> tokens(std::uint32_t Count) const;

  /// Tokens from a position on, and whether the request has ended.
  struct Progress {
    std::vector<std::string> m_Tokens;
    bool m_IsEnded = false;
  };
  /// Waits until the token at From exists, the request has ended or Limit has
  /// passed.
  Progress waitFor(std::uint32_t From, Duration Limit) const;

  bool isEnded() const;
  /// Only valid after the end.
  FinishRequest end() const;
  std::string finishReason() const;
  std::optional<ServiceAnswer> serviceAnswer() const;
  /// State and content from a position on, for queries of peers and callers.
  RemoteAnswer snapshot(std::uint32_t From) const;
  /// Approximate memory use.
  std::size_t bytes() const;

private:
  static constexpr std::uint32_t NoPosition =
      std::numeric_limits<std::uint32_t>::max();

  const std::string m_RequestId;
  const std::string m_AccountKeySha256;

  mutable std::mutex m_Mutex;
  mutable std::condition_variable m_Changed;
  std::shared_ptr<const CallerPayload> m_Payload;
  std::vector<std::string> m_Tokens;
  /// Smallest position that a reader waits for. Avoids waking readers of the
  /// whole answer for each token.
  mutable std::uint32_t m_AwaitedPosition = NoPosition;
  std::string m_FinishReason;
  std::optional<ServiceAnswer> m_ServiceAnswer;
  std::optional<FinishRequest> m_End;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_ANSWER_H
