#ifndef PARSLEYRING_REQUESTS_REQUEST_H
#define PARSLEYRING_REQUESTS_REQUEST_H

#include "parsleyring/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

enum class RequestKind { Completion, ServiceCall };

enum class RequestState {
  Claiming,      ///< Waits for ClaimSettled.
  Queued,        ///< In the fair queue of its pool.
  AwaitingRetry, ///< Starts its next attempt before queued requests.
  Running,       ///< Has a current attempt.
};

/// A request that was admitted and has not ended.
struct Request {
  RequestNumber m_Number = 0;
  RequestKind m_Kind = RequestKind::Completion;
  RequestState m_State = RequestState::Queued;
  std::string m_Account;
  std::string m_Pool;
  /// Pipeline, or pool, method and path without the query.
  std::string m_Target;

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
  /// m_Timeout after arrival; each delivered token moves it to m_Timeout after
  /// that token.
  Time m_Deadline;
  Duration m_Timeout{};

  std::uint32_t m_Epoch = 0;          ///< Attempts started so far.
  AttemptNumber m_CurrentAttempt = 0; ///< 0: none.
  std::uint32_t m_Delivered = 0;      ///< Tokens sent to the caller.
  /// Attempts since the last delivered token, without those that an overloaded
  /// or leaving endpoint refused or that found no connection.
  std::uint32_t m_AttemptsSinceProgress = 0;
  /// Refusals for overload and failed connections since the last delivered
  /// token.
  std::uint32_t m_RefusalsSinceProgress = 0;
  std::uint32_t m_OpenAttempts = 0; ///< Started, AttemptEnded not yet seen.
  /// A token arrived, or an attempt ended without proof that it did not run.
  bool m_MayHaveRun = false;
  /// Service calls only: a slow attempt is replaced at most once.
  bool m_WasSlowAttemptReplaced = false;
  /// The caller disconnected and is not expected to reconnect.
  bool m_IsCallerGone = false;
  /// Set once the caller disconnected while it may still reconnect.
  std::optional<Time> m_CallerReturnDeadline;
  bool m_HasClaim = false;
  Time m_NotBefore;                 ///< Earliest start of the next attempt.
  std::vector<std::string> m_Avoid; ///< Endpoints that failed this request.
  /// All endpoints of the last attempt that stalled or failed without a known
  /// culprit. Only of the last one: those of several attempts soon cover all
  /// routes, and then the next attempt could take the same route again.
  std::vector<std::string> m_LastSuspects;

  /// The endpoints that the next attempt avoids if there is another route.
  std::vector<std::string> avoided() const {
    std::vector<std::string> Result = m_Avoid;
    Result.insert(Result.end(), m_LastSuspects.begin(), m_LastSuspects.end());
    return Result;
  }
  /// True unless every attempt provably did no work.
  bool canHaveRun() const { return m_MayHaveRun || m_OpenAttempts > 0; }
  /// True if all tokens are delivered and only the explicit end is missing.
  bool hasAllTokens() const {
    return m_Kind == RequestKind::Completion && m_Delivered >= m_MaxTokens;
  }
};

/// One dispatch of a request. Kept until AttemptEnded arrives, even if the
/// request ended before.
struct Attempt {
  AttemptNumber m_Number = 0;
  RequestNumber m_Request = 0;
  std::uint32_t m_Epoch = 0;
  std::vector<Stage> m_Route;
  std::uint32_t m_Tokens = 0; ///< Tokens delivered by this attempt.
  Time m_StartedAt;
  Time m_ProgressAt; ///< Start, or arrival of the last accepted token.
  Duration m_ProgressTimeout{}; ///< Stalled after this long without a token.
  bool m_IsStallRecorded = false;
  bool m_IsCancelled = false; ///< CancelAttempt was issued.
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_REQUEST_H
