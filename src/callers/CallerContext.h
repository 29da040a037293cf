#ifndef PARSLEYRING_CALLERS_CALLERCONTEXT_H
#define PARSLEYRING_CALLERS_CALLERCONTEXT_H

#include "callers/AnswerStore.h"
#include "callers/ErrorAnswer.h"

#include <functional>
#include <optional>
#include <string>

namespace parsleyring {

/// Interface of the rest of the node to the handlers of callers' requests. All
/// functions may be called from any thread.
struct CallerContext {
  AnswerStore &m_Answers;
  Incarnation m_Self;
  std::function<RequestNumber()> m_NextRequestNumber;
  std::function<void(const Event &)> m_Post; ///< Sends an event to the Router.
  /// Returns the error for all requests while the node can accept none; else
  /// empty.
  std::function<std::optional<ErrorAnswer>()> m_Refusal;
  /// Writes the audit records of a request that does not reach the Router.
  std::function<void(RequestNumber, const ErrorAnswer &)> m_RecordRefusal;
  /// Token limit for requests that do not set max_tokens.
  std::function<std::uint32_t(const std::string &Model)> m_DefaultMaxTokens;
  std::function<bool(const std::string &KeySha256,
                     const std::string &OtherKeySha256)>
      m_IsSameAccount;
  /// Name of the account that owns a key; empty if the key is unknown.
  std::function<std::optional<std::string>(const std::string &KeySha256)>
      m_AccountName;
  /// Returns a reserved idempotency key; empty if too many are outstanding.
  std::function<std::optional<std::string>(const std::string &Account)>
      m_IssueReservation;
  /// Queries the VM that owns the request; empty if it cannot be reached.
  std::function<std::optional<RemoteAnswer>(const OwnedId &,
                                            std::uint32_t FromPosition)>
      m_QueryOwner;
  std::function<bool()> m_IsReady;
  std::function<bool()> m_IsDraining;
  std::function<std::string()> m_MetricsText;
  /// Increments a counter of the metrics page.
  std::function<void(const char *Counter)> m_IncrementCounter;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERCONTEXT_H
