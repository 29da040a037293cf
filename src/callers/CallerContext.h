#ifndef PARSLEYRING_CALLERS_CALLERCONTEXT_H
#define PARSLEYRING_CALLERS_CALLERCONTEXT_H

#include "callers/AnswerStore.h"
#include "callers/ErrorAnswer.h"

#include <functional>
#include <optional>
#include <string>

namespace parsleyring {

/// What the handlers of callers' requests need of the rest of the node. All
/// functions may be called from any thread.
struct CallerContext {
  AnswerStore &m_Answers;
  Incarnation m_Self;
  std::function<RequestNumber()> m_NextRequest;
  std::function<void(const Event &)> m_Post; ///< To the Router.
  /// Set while the node cannot take requests at all.
  std::function<std::optional<ErrorAnswer>()> m_Refusal;
  /// Writes the audit records of a request that does not reach the Router.
  std::function<void(RequestNumber, const ErrorAnswer &)> m_RecordRefusal;
  /// Number of tokens if the caller asks for no number.
  std::function<std::uint32_t(const std::string &Model)> m_DefaultMaxTokens;
  std::function<bool(const std::string &KeySha256,
                     const std::string &OtherKeySha256)>
      m_IsSameAccount;
  /// Name of the account of a key; empty if the key is not known.
  std::function<std::optional<std::string>(const std::string &KeySha256)>
      m_AccountName;
  /// A reserved idempotency key; empty if too many are kept.
  std::function<std::optional<std::string>(const std::string &Account)>
      m_IssueReservation;
  /// Asks the VM that owns the request.
  std::function<std::optional<RemoteAnswer>(const OwnedId &,
                                            std::uint32_t FromPosition)>
      m_RemoteState;
  std::function<bool()> m_IsReady;
  std::function<bool()> m_IsDraining;
  std::function<std::string()> m_MetricsText;
  /// Adds one to a counter of the metrics page.
  std::function<void(const char *Counter)> m_Count;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERCONTEXT_H
