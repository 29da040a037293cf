#ifndef PARSLEYRING_EVENTS_H
#define PARSLEYRING_EVENTS_H

#include "parsleyring/Actions.h"
#include "parsleyring/Document.h"
#include "parsleyring/Types.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace parsleyring {

// Inputs of Router::handle(). Events carry what the decisions need; the
// payloads stay with the caller of the Router. The describe() of each event
// lists its fields, for the trace codec to read and write.

/// A well-formed completion request arrived.
struct CompletionArrived {
  RequestNumber m_Request = 0;
  std::string m_AccountKeySha256;
  std::string m_Pipeline;
  std::uint32_t m_PromptTokens = 0; ///< Estimate: one token per 4 bytes.
  std::uint32_t m_MaxTokens = 0;
  std::int32_t m_Priority = 0; ///< Higher goes first within an account.
  /// Hashes of the prefixes of the prompt in 256-byte steps, shortest first.
  std::vector<std::uint64_t> m_PrefixHashes;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("request", Event.m_Request);
    Visit("account_key_sha256", Event.m_AccountKeySha256);
    Visit("pipeline", Event.m_Pipeline);
    Visit("prompt_tokens", Event.m_PromptTokens);
    Visit("max_tokens", Event.m_MaxTokens);
    Visit("priority", Event.m_Priority);
    Visit("prefix_hashes", Event.m_PrefixHashes);
  }
};

/// A call of a plain service arrived.
struct ServiceCallArrived {
  RequestNumber m_Request = 0;
  std::string m_AccountKeySha256;
  std::string m_Pool;
  std::string m_Method;
  std::string m_Path;
  std::string m_IdempotencyKey; ///< Empty if the caller sent none.
  std::string m_BodySha256;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("request", Event.m_Request);
    Visit("account_key_sha256", Event.m_AccountKeySha256);
    Visit("pool", Event.m_Pool);
    Visit("method", Event.m_Method);
    Visit("path", Event.m_Path);
    Visit("idempotency_key", Event.m_IdempotencyKey);
    Visit("body_sha256", Event.m_BodySha256);
  }
};

/// The connection of the caller closed. A caller that has a part of its answer
/// may ask for the rest on another connection.
struct CallerDisconnected {
  RequestNumber m_Request = 0;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("request", Event.m_Request);
  }
};

/// The state of the request was queried, so the caller still wants the answer.
struct CallerReturned {
  RequestNumber m_Request = 0;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("request", Event.m_Request);
  }
};

/// A token arrived on the stream of an attempt.
struct TokenArrived {
  AttemptNumber m_Attempt = 0;
  std::uint32_t m_Position = 0; ///< 0 is the first generated token.
  std::vector<Hop> m_Hops;      ///< The endpoints that computed the token.

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("attempt", Event.m_Attempt);
    Visit("position", Event.m_Position);
    Visit("hops", Event.m_Hops);
  }
};

enum class AttemptResult {
  Finished,       ///< Engine: explicit end. Service: complete answer.
  ConnectFailed,  ///< No byte of the request was sent.
  RefusedNotRun,  ///< The endpoint answered that it did not run the attempt.
  RefusedLeaving, ///< Refused as not run, because the endpoint is draining.
  Rejected,       ///< The engine answered 4xx; a retry would fail too.
  ConnectionLost, ///< Sent in part or whole; no complete answer.
  TimedOut,       ///< Sent; no answer within the attempt's time limit.
  Malformed,      ///< The answer cannot be parsed.
  Cancelled,      ///< Ended by CancelAttempt.
};

std::string_view name(AttemptResult Value);
std::optional<AttemptResult> attemptResultFromName(std::string_view Name);

/// An attempt ended. The last event of every attempt.
struct AttemptEnded {
  AttemptNumber m_Attempt = 0;
  AttemptResult m_Result = AttemptResult::Finished;
  int m_Status = 0; ///< HTTP status; 0 if there was none.
  std::string m_Detail;
  /// The endpoint that failed or refused, if the first stage names it.
  std::string m_FailedEndpoint = {};

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("attempt", Event.m_Attempt);
    Visit("result", Event.m_Result);
    Visit("status", Event.m_Status);
    Visit("detail", Event.m_Detail);
    Visit("failed_endpoint", Event.m_FailedEndpoint);
  }
};

/// A load report of an endpoint, polled by this VM or received from a peer.
struct LoadReported {
  std::string m_Endpoint;
  std::string m_Incarnation; ///< Of the process of the endpoint.
  Time m_ReportedAt;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  bool m_IsDraining = false;
  std::vector<std::uint64_t> m_CachedPrefixes;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("endpoint", Event.m_Endpoint);
    Visit("incarnation", Event.m_Incarnation);
    Visit("reported_at", Event.m_ReportedAt);
    Visit("running", Event.m_Running);
    Visit("waiting", Event.m_Waiting);
    Visit("draining", Event.m_IsDraining);
    Visit("cached_prefixes", Event.m_CachedPrefixes);
  }
};

/// How this VM learned that an endpoint is leaving.
enum class LeavingSource {
  VMList,     ///< The VM list of the platform marks the endpoint as leaving.
  LoadReport, ///< The endpoint reports that it is draining.
  Answer,     ///< The endpoint refused an attempt because it is leaving.
  Peer        ///< Another VM announced that the endpoint is leaving.
};

std::string_view name(LeavingSource Value);
std::optional<LeavingSource> leavingSourceFromName(std::string_view Name);

/// An endpoint is leaving; the incarnation gets no new work. An empty
/// incarnation stands for the current one.
struct EndpointLeaving {
  std::string m_Endpoint;
  std::string m_Incarnation;
  LeavingSource m_Source = LeavingSource::VMList;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("endpoint", Event.m_Endpoint);
    Visit("incarnation", Event.m_Incarnation);
    Visit("sign", Event.m_Source);
  }
};

/// Membership as this VM sees it: live peers and their outstanding requests.
struct PeersChanged {
  std::uint32_t m_LivePeers = 0; ///< Without this VM.
  /// Outstanding requests at the peers, per client account.
  std::map<std::string, std::uint32_t> m_PeerOutstanding;
  /// Failure domains from which no peer was heard.
  std::vector<std::string> m_UnreachableDomains;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("live_peers", Event.m_LivePeers);
    Visit("peer_outstanding", Event.m_PeerOutstanding);
    Visit("unreachable_domains", Event.m_UnreachableDomains);
  }
};

/// A configuration is ready. The Router ignores it unless the version is higher
/// than the one in force.
struct ConfigurationApplied {
  ConfigurationVersion m_Version = 0;
  std::shared_ptr<const Document> m_Document;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("version", Event.m_Version);
    Visit("document", Event.m_Document);
  }
};

enum class ClaimResult {
  Granted,     ///< Only this VM may dispatch the call, and only once.
  InProgress,  ///< Claimed before; not known to have ended.
  Completed,   ///< Ran before; the answer is not stored.
  AnswerKept,  ///< Ran before; the caller gets the stored answer.
  BodyDiffers, ///< The key was used with another body.
  Unavailable, ///< The platform did not settle the claim in time.
  KeyRejected, ///< The key is too old or malformed.
};

std::string_view name(ClaimResult Value);
std::optional<ClaimResult> claimResultFromName(std::string_view Name);

/// The result of a RequestClaim.
struct ClaimSettled {
  RequestNumber m_Request = 0;
  ClaimResult m_Result = ClaimResult::Unavailable;
  std::string m_Detail;

  template <typename Self, typename Visitor>
  static void describe(Self &Event, Visitor &&Visit) {
    Visit("request", Event.m_Request);
    Visit("result", Event.m_Result);
    Visit("detail", Event.m_Detail);
  }
};

/// This VM shuts down: new requests are rejected as not run.
struct DrainStarted {
  template <typename Self, typename Visitor>
  static void describe(Self &, Visitor &&) {}
};

/// Sent every TickInterval.
struct Tick {
  template <typename Self, typename Visitor>
  static void describe(Self &, Visitor &&) {}
};

using Event =
    std::variant<CompletionArrived, ServiceCallArrived, CallerDisconnected,
                 CallerReturned, TokenArrived, AttemptEnded, LoadReported,
                 EndpointLeaving, PeersChanged, ConfigurationApplied,
                 ClaimSettled, DrainStarted, Tick>;

/// Name of the type of the event in traces, for example
/// "token-arrived".
std::string_view name(const Event &Value);

} // namespace parsleyring

#endif // PARSLEYRING_EVENTS_H
