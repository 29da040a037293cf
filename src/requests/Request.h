#ifndef PARSLEYRING_REQUESTS_REQUEST_H
#define PARSLEYRING_REQUESTS_REQUEST_H

#include "parsleyring/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

enum class RequestKind { Completion, ServiceCall };

enum class RequestState {
  Claiming, ///< Waits for ClaimSettled.
  Queued,   ///< In the fair queue of its pool.
  Waiting,  ///< Waits for a further attempt, before the fair queue.
  Running,  ///< Has a current attempt.
};

/// A request that was admitted and has not ended.
struct Request {
  RequestNumber m_Number = 0;
  RequestKind m_Kind = RequestKind::Completion;
  RequestState m_State = RequestState::Queued;
  std::string m_Account;
  std::string m_Pool;
  std::string m_Target; ///< Pipeline, or method and path without the query.

  // Completions.
  std::uint32_t m_Layers = 0;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_MaxTokens = 0;
  std::int32_t m_Priority = 0;
  std::vector<std::uint64_t> m_PrefixHashes;

  // Service calls.
  bool m_IsIdempotent = true;
  std::string m_IdempotencyKey;
  std::string m_BodySha256;

  Time m_ArrivedAt;
  /// Bounds the time to the first progress, and then from each progress to
  /// the next.
  Time m_Deadline;
  Duration m_Timeout{};

  std::uint32_t m_Epoch = 0;
  AttemptNumber m_CurrentAttempt = 0; ///< 0: none.
  std::uint32_t m_Delivered = 0;      ///< Tokens.
  std::uint32_t m_AttemptsSinceProgress = 0;
  /// Refusals for overload since the last token; not among the attempts.
  std::uint32_t m_RefusalsSinceProgress = 0;
  std::uint32_t m_OpenAttempts = 0; ///< Started, AttemptEnded not yet seen.
  bool m_MayHaveRun = false;        ///< Seen by a token or an attempt's end.
  bool m_WasCut = false;            ///< A slow service attempt was replaced.
  bool m_IsCallerGone = false;
  /// Set while the caller's connection is gone, but the caller may come back.
  std::optional<Time> m_CallerAwaitedUntil;
  bool m_HasClaim = false;
  Time m_NotBefore;                 ///< Of the next attempt.
  std::vector<std::string> m_Avoid; ///< Endpoints that failed this request.

  /// True unless every attempt provably did no work.
  bool canHaveRun() const { return m_MayHaveRun || m_OpenAttempts > 0; }
  /// True if the answer lacks nothing but its explicit end.
  bool hasAllTokens() const {
    return m_Kind == RequestKind::Completion && m_Delivered >= m_MaxTokens;
  }
};

/// One dispatch of a request. It outlives the request until its end is seen.
struct Attempt {
  AttemptNumber m_Number = 0;
  RequestNumber m_Request = 0;
  std::uint32_t m_Epoch = 0;
  std::vector<Stage> m_Route;
  std::uint32_t m_Tokens = 0; ///< Accepted tokens of this attempt.
  Time m_StartedAt;
  Time m_ProgressAt;
  Duration m_ProgressTimeout{}; ///< Silence beyond this is a stall.
  bool m_IsStallNoted = false;
  bool m_IsCancelled = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_REQUEST_H
