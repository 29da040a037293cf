#include "node/RouterNodeImplementation.h"

#include "requests/AuditRecords.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

static constexpr Duration AnswerExpiryInterval = std::chrono::seconds(1);
/// Default of max_tokens in the published completions format.
static constexpr std::uint32_t DefaultMaxTokens = 16;

PeerCallbacks RouterNode::Implementation::peerCallbacks() {
  PeerCallbacks Result;
  Result.m_Post = [this](const Event &Value) { m_Loop.post(Value); };
  Result.m_ConfigurationVersion = [this] { return m_Configuration.version(); };
  Result.m_NewerConfiguration = [this](const std::string &Peer,
                                       ConfigurationVersion Version) {
    m_Follower.noteAnnouncedVersion(Peer, Version);
  };
  Result.m_HeadJson = [this] { return m_Follower.headJson(); };
  Result.m_Chunk = [this](const std::string &Sha256) {
    return m_Follower.chunk(Sha256);
  };
  Result.m_Outstanding = [this] { return m_Loop.counters().m_Outstanding; };
  Result.m_RequestState = [this](RequestNumber Number, std::uint32_t From) {
    auto Found = m_Answers.find(Number);
    if (!Found)
      return RemoteAnswer{};
    m_Loop.post(CallerReturned{Number});
    return Found->snapshot(From);
  };
  Result.m_KeyState = [this](const std::string &Account,
                             const std::string &Key) {
    auto Found = m_Answers.findByKey(Account, Key);
    return Found ? Found->snapshot(0) : RemoteAnswer{};
  };
  Result.m_TakeReservation =
      [this](const std::string &Account, const std::string &Key,
             const std::string &BodySha256, const std::string &Holder) {
        return m_Claims.takeReservation(Account, Key, BodySha256, Holder);
      };
  Result.m_EndReservation = [this](const std::string &Key,
                                   ClaimFinalState End) {
    m_Claims.endReservation(Key, End);
  };
  Result.m_CountBytes = [this](std::uint64_t Bytes) {
    m_Counters.add("peer_messages");
    m_Counters.add("peer_bytes", Bytes);
  };
  return Result;
}

ClaimCallbacks RouterNode::Implementation::claimCallbacks() {
  ClaimCallbacks Result;
  Result.m_Now = [this] { return m_Clock.now(); };
  Result.m_KeyState =
      [this](const Incarnation &Holder, const std::string &Account,
             const std::string &Key) { return keyState(Holder, Account, Key); };
  Result.m_OnKeptAnswer = [this](RequestNumber Number,
                                 const RemoteAnswer &Kept) {
    setKeptAnswer(Number, Kept);
  };
  Result.m_TakeRemoteReservation = [this](const OwnedId &Key,
                                          const RequestClaim &Request) {
    return m_Peers->takeReservation(Key, Request);
  };
  Result.m_EndRemoteReservation =
      [this](const OwnedId &Key, const std::string &Text, ClaimFinalState End) {
        m_Peers->endReservation(Key, Text, End);
      };
  return Result;
}

LoadPoller::Callbacks RouterNode::Implementation::pollerCallbacks() {
  LoadPoller::Callbacks Result;
  Result.m_Now = [this] { return m_Clock.now(); };
  Result.m_ShouldPoll = [this](const std::string &Endpoint,
                               const std::string &FailureDomain) {
    return m_Peers->isPoller(Endpoint, FailureDomain);
  };
  Result.m_OnReport = [this](const LoadReported &Report) {
    m_Counters.add("load_reports_polled");
    m_Loop.post(Report);
    m_Peers->noteLoad(Report);
  };
  Result.m_OnFailure = [this](const std::string &) {
    m_Counters.add("load_polls_failed");
  };
  Result.m_CountBytes = [this](std::uint64_t Bytes) {
    m_Counters.add("load_poll_bytes", Bytes);
  };
  return Result;
}

CallerContext RouterNode::Implementation::callerContext() {
  return {m_Answers,
          m_Self,
          [this] { return ++m_LastRequest; },
          [this](const Event &Value) { m_Loop.post(Value); },
          [this] { return refusal(); },
          [this](RequestNumber Number, const ErrorAnswer &Refusal) {
            recordRefusal(Number, Refusal);
          },
          [this](const std::string &Model) {
            auto Current = m_Configuration.document();
            const Pipeline *Found =
                Current ? Current->pipeline(Model) : nullptr;
            return Found ? std::min(DefaultMaxTokens, Found->m_MaxTokens)
                         : DefaultMaxTokens;
          },
          [this](const std::string &Key, const std::string &Other) {
            return m_Configuration.isSameAccount(Key, Other);
          },
          [this](const std::string &Key) {
            return m_Configuration.accountName(Key);
          },
          [this](const std::string &Account) {
            return m_Claims.issueReservation(Account);
          },
          [this](const OwnedId &Id, std::uint32_t From) {
            return m_Peers->requestState(Id, From);
          },
          [this] { return isReady(); },
          [this] { return m_IsDraining.load(); },
          [this] { return metrics(); },
          [this](const char *Counter) { m_Counters.add(Counter); }};
}

FollowerOptions RouterNode::Implementation::followerOptions() {
  FollowerOptions Result;
  Result.m_Platform = &m_Platform;
  for (const PeerSeed &Seed : m_Settings.m_Peers)
    Result.m_StartPeers.push_back(Seed.m_VM);
  Result.m_FetchHead = [this](const std::string &Peer) {
    return m_Peers->fetchHead(Peer);
  };
  Result.m_FetchChunk = [this](const std::string &Peer,
                               const std::string &Sha256) {
    return m_Peers->fetchChunk(Peer, Sha256);
  };
  Result.m_OnApplied = [this](ConfigurationVersion Version,
                              const std::shared_ptr<const Document> &Applied) {
    applyConfiguration(Version, Applied);
  };
  Result.m_OnRejected = [this](const ConfigurationRejection &Rejected) {
    recordRejection(Rejected);
  };
  Result.m_Now = [this] { return m_Clock.now(); };
  return Result;
}

RouterLoop::Observer RouterNode::Implementation::observer() {
  if (m_Settings.m_IsTraceEnabled)
    m_Audit.write(TraceCodec::encodeStart(m_Clock.now(), m_RouterOptions));
  return [this](Time Now, const Event &Value) {
    if (m_Settings.m_IsTraceEnabled)
      m_Audit.write(m_Trace.encode(Now, Value));
    // Expires old answers here too, since without traffic no request ends and
    // triggers their expiry.
    if (std::holds_alternative<Tick>(Value) &&
        Now - m_AnswersExpiredAt >= AnswerExpiryInterval) {
      m_AnswersExpiredAt = Now;
      m_Answers.expire(Now);
    }
  };
}

std::optional<RemoteAnswer>
RouterNode::Implementation::keyState(const Incarnation &Holder,
                                     const std::string &Account,
                                     const std::string &Key) {
  if (Holder.m_VM != m_Self.m_VM)
    return m_Peers->keyState(Holder, Account, Key);
  if (Holder.m_Number != m_Self.m_Number)
    return std::nullopt;
  auto Found = m_Answers.findByKey(Account, Key);
  return Found ? Found->snapshot(0) : RemoteAnswer{};
}

void RouterNode::Implementation::setKeptAnswer(RequestNumber Number,
                                               const RemoteAnswer &Kept) {
  auto Target = m_Answers.find(Number);
  if (!Target)
    return;
  ServiceAnswer Copy;
  Copy.m_Status = Kept.m_Status;
  if (!Kept.m_ContentType.empty())
    Copy.m_Headers.emplace_back("Content-Type", Kept.m_ContentType);
  Copy.m_Body = Kept.m_Body;
  Target->setServiceAnswer(std::move(Copy));
}

void RouterNode::Implementation::recordRefusal(RequestNumber Number,
                                               const ErrorAnswer &Refusal) {
  // Writing refusal records would keep a congested output congested.
  if (m_AuditOutput.isCongested())
    return;
  // The message is omitted because it may quote the caller's input.
  RequestResult End{Refusal.m_Outcome, Refusal.m_Status, Refusal.m_Code, {}, 0};
  Time Now = m_Clock.now();
  m_Audit.write(
      rejectionRecord(Now, Number, {}, {}, End, m_Configuration.version()),
      "callers");
  m_Audit.write(outcomeRecord(Now, Number, End, 0, Duration::zero()),
                "callers");
}

void RouterNode::Implementation::recordRejection(
    const ConfigurationRejection &Rejected) {
  static constexpr std::size_t MaxFindings = 20;
  nlohmann::json Findings = nlohmann::json::array();
  for (const Finding &Found : Rejected.m_Findings)
    if (Findings.size() < MaxFindings)
      Findings.push_back(toString(Found));
  WriteAudit Record;
  Record.m_Kind = AuditKind::Configuration;
  Record.m_At = Rejected.m_At;
  Record.m_FieldsJson =
      nlohmann::json{{"accepted", false},
                     {"source", Rejected.m_Source},
                     {"version", Rejected.m_Version},
                     {"findings", std::move(Findings)}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  m_Audit.write(Record, "configuration");
  m_Counters.add("configurations_rejected");
}

} // namespace parsleyring
