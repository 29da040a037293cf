#include "callers/Answer.h"

#include <algorithm>
#include <stdexcept>

namespace parsleyring {

using Guard = std::lock_guard<std::mutex>;

Answer::Answer(std::shared_ptr<const CallerPayload> Payload)
    : m_RequestId(Payload->m_RequestId),
      m_AccountKeySha256(Payload->m_AccountKeySha256),
      m_Payload(std::move(Payload)) {}

std::shared_ptr<const CallerPayload> Answer::payload() const {
  Guard Lock(m_Mutex);
  return m_Payload;
}

void Answer::appendToken(std::uint32_t Position, std::string Text) {
  bool IsAwaited = false;
  {
    Guard Lock(m_Mutex);
    if (Position != m_Tokens.size() || m_End)
      throw std::logic_error("token " + std::to_string(Position) + " of " +
                             m_RequestId +
                             " is out of order or follows the end");
    m_Tokens.push_back(std::move(Text));
    IsAwaited = Position >= m_AwaitedPosition;
    if (IsAwaited)
      m_AwaitedPosition = NoPosition;
  }
  if (IsAwaited)
    m_Changed.notify_all();
}

void Answer::setFinishReason(std::string Reason) {
  Guard Lock(m_Mutex);
  m_FinishReason = std::move(Reason);
}

void Answer::setServiceAnswer(ServiceAnswer Value) {
  Guard Lock(m_Mutex);
  m_ServiceAnswer = std::move(Value);
}

void Answer::finish(const FinishRequest &End) {
  {
    Guard Lock(m_Mutex);
    m_End = End;
    m_Payload.reset();
  }
  m_Changed.notify_all();
}

std::vector<std::string> Answer::tokens(std::uint32_t Count) const {
  Guard Lock(m_Mutex);
  std::size_t Size = std::min<std::size_t>(Count, m_Tokens.size());
  return {m_Tokens.begin(),
          m_Tokens.begin() + static_cast<std::ptrdiff_t>(Size)};
}

Answer::Progress Answer::waitFor(std::uint32_t From, Duration Limit) const {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_Changed.wait_for(Lock, Limit, [&] {
    m_AwaitedPosition = std::min(m_AwaitedPosition, From);
    return m_End || m_Tokens.size() > From;
  });
  Progress Result;
  Result.m_IsEnded = m_End.has_value();
  if (From < m_Tokens.size())
    Result.m_Tokens.assign(m_Tokens.begin() + From, m_Tokens.end());
  return Result;
}

bool Answer::isEnded() const {
  Guard Lock(m_Mutex);
  return m_End.has_value();
}

FinishRequest Answer::end() const {
  Guard Lock(m_Mutex);
  return m_End.value();
}

std::string Answer::finishReason() const {
  Guard Lock(m_Mutex);
  return m_FinishReason;
}

std::optional<ServiceAnswer> Answer::serviceAnswer() const {
  Guard Lock(m_Mutex);
  return m_ServiceAnswer;
}

RemoteAnswer Answer::snapshot(std::uint32_t From) const {
  Guard Lock(m_Mutex);
  RemoteAnswer Result;
  Result.m_State =
      m_End ? RemoteAnswer::State::Ended : RemoteAnswer::State::InProgress;
  Result.m_AccountKeySha256 = m_AccountKeySha256;
  if (m_End) {
    Result.m_Outcome = m_End->m_Outcome;
    Result.m_Status = m_End->m_Status;
  }
  Result.m_Tokens = static_cast<std::uint32_t>(m_Tokens.size());
  if (m_ServiceAnswer) {
    Result.m_Status = m_ServiceAnswer->m_Status;
    Result.m_ContentType = m_ServiceAnswer->contentType();
    Result.m_Body = m_ServiceAnswer->m_Body;
    return Result;
  }
  for (std::size_t At = From; At < m_Tokens.size(); ++At)
    Result.m_Body += m_Tokens[At];
  return Result;
}

std::size_t Answer::bytes() const {
  // Approximate memory of an answer besides its texts.
  static constexpr std::size_t OverheadBytes = 512;
  Guard Lock(m_Mutex);
  std::size_t Sum = OverheadBytes + m_Tokens.capacity() * sizeof(std::string);
  for (const std::string &Text : m_Tokens)
    Sum += Text.size();
  if (m_ServiceAnswer)
    Sum += m_ServiceAnswer->m_Body.size();
  return Sum;
}

} // namespace parsleyring
