#include "store/StoreWriter.h"

#include <algorithm>

namespace parsleyring {

static constexpr Duration CallTimeout = std::chrono::milliseconds(800);
// The store also counts refused calls against its rate limits, so the retry
// delay grows.
static constexpr Duration FirstRetryDelay = std::chrono::milliseconds(100);
static constexpr Duration MaxRetryDelay = std::chrono::milliseconds(600);

StoreWriter::StoreWriter(boost::asio::io_context &Loop, StoreClient &Client,
                         const StoreProtocol &Protocol,
                         std::string StoreAddress, RejectionHandler OnRejected)
    : m_Client(Client), m_Protocol(Protocol),
      m_StoreAddress(std::move(StoreAddress)),
      m_OnRejected(std::move(OnRejected)), m_RetryTimer(Loop) {}

void StoreWriter::put(const std::string &Key, const std::string &Value) {
  add(Key, Value);
}

void StoreWriter::remove(const std::string &Key) { add(Key, std::nullopt); }

void StoreWriter::add(const std::string &Key,
                      std::optional<std::string> Value) {
  if (m_Pending.size() >= MaxPending && !m_Pending.count(Key)) {
    m_OnRejected(Key, 0);
    return;
  }
  m_Pending[Key] = std::move(Value);
  if (!m_IsSending)
    sendNext();
}

void StoreWriter::sendNext() {
  m_IsSending = !m_Pending.empty();
  if (!m_IsSending)
    return;
  const auto &[Key, Value] = *m_Pending.begin();
  StoreCall Call;
  if (Value) {
    StorePut Put;
    Put.m_Key = Key;
    Put.m_Value = *Value;
    Call = m_Protocol.putCall(Put);
  } else {
    Call = m_Protocol.removeCall(Key);
  }
  m_Client.call(
      m_StoreAddress, Call, CallTimeout,
      [this, SentKey = Key, SentValue = Value](const CallReply &Reply) {
        handleReply(SentKey, SentValue, Reply);
      });
}

void StoreWriter::handleReply(const std::string &Key,
                              const std::optional<std::string> &Value,
                              const CallReply &Reply) {
  bool IsRejected =
      Reply.m_Status >= 400 && Reply.m_Status < 500 && Reply.m_Status != 429;
  if (!Reply.isOk() && !IsRejected) {
    retryLater();
    return;
  }
  m_RetryDelay = Duration::zero();
  // The value may have changed while the call was running.
  auto Sent = m_Pending.find(Key);
  if (Sent != m_Pending.end() && Sent->second == Value)
    m_Pending.erase(Sent);
  if (IsRejected)
    m_OnRejected(Key, Reply.m_Status);
  sendNext();
}

void StoreWriter::retryLater() {
  m_RetryDelay =
      std::clamp<Duration>(2 * m_RetryDelay, FirstRetryDelay, MaxRetryDelay);
  m_RetryTimer.expires_after(m_RetryDelay);
  m_RetryTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      sendNext();
  });
}

} // namespace parsleyring
