#include "peers/WireConversion.h"

#include "Peer_types.h"

namespace parsleyring {

static constexpr std::int64_t MicrosPerMilli = 1000;

static std::int64_t toMicros(Time Value) {
  return Value.time_since_epoch().count();
}

static wire::LoadEntry toWire(const LoadReported &Value) {
  wire::LoadEntry Result;
  Result.endpoint = Value.m_Endpoint;
  Result.incarnation = Value.m_Incarnation;
  Result.reportedAtMicros = toMicros(Value.m_ReportedAt);
  Result.running = static_cast<std::int32_t>(Value.m_Running);
  Result.waiting = static_cast<std::int32_t>(Value.m_Waiting);
  Result.draining = Value.m_IsDraining;
  return Result;
}

static LoadReported fromWire(const wire::LoadEntry &Value) {
  LoadReported Result;
  Result.m_Endpoint = Value.endpoint;
  Result.m_Incarnation = Value.incarnation;
  Result.m_ReportedAt = Time(Duration(Value.reportedAtMicros));
  Result.m_Running = static_cast<std::uint32_t>(Value.running);
  Result.m_Waiting = static_cast<std::uint32_t>(Value.waiting);
  Result.m_IsDraining = Value.draining;
  return Result;
}

static wire::PeerEntry toWire(const PeerInfo &Value) {
  wire::PeerEntry Result;
  Result.vm = Value.m_Identity.m_VM;
  Result.incarnation = static_cast<std::int64_t>(Value.m_Identity.m_Number);
  Result.address = Value.m_Address;
  Result.failureDomain = Value.m_FailureDomain;
  Result.ageMillis =
      static_cast<std::int32_t>(Value.m_Age.count() / MicrosPerMilli);
  return Result;
}

static PeerInfo fromWire(const wire::PeerEntry &Value) {
  PeerInfo Result;
  Result.m_Identity = {Value.vm, static_cast<std::uint64_t>(Value.incarnation)};
  Result.m_Address = Value.address;
  Result.m_FailureDomain = Value.failureDomain;
  Result.m_Age = std::chrono::milliseconds(Value.ageMillis);
  return Result;
}

wire::Digest toWire(const Digest &Value) {
  wire::Digest Result;
  Result.vm = Value.m_Sender.m_Identity.m_VM;
  Result.incarnation =
      static_cast<std::int64_t>(Value.m_Sender.m_Identity.m_Number);
  Result.address = Value.m_Sender.m_Address;
  Result.failureDomain = Value.m_Sender.m_FailureDomain;
  Result.draining = Value.m_IsDraining;
  Result.configurationVersion =
      static_cast<std::int64_t>(Value.m_ConfigurationVersion);
  for (const auto &[Account, Count] : Value.m_Outstanding)
    Result.outstanding[Account] = static_cast<std::int32_t>(Count);
  for (const LeavingEndpoint &Entry : Value.m_Leaving) {
    wire::LeavingEntry Converted;
    Converted.endpoint = Entry.m_Endpoint;
    Converted.incarnation = Entry.m_Incarnation;
    Result.leaving.push_back(std::move(Converted));
  }
  for (const LoadReported &Report : Value.m_Load)
    Result.load.push_back(toWire(Report));
  for (const PeerInfo &Info : Value.m_Peers)
    Result.peers.push_back(toWire(Info));
  return Result;
}

Digest fromWire(const wire::Digest &Value) {
  Digest Result;
  Result.m_Sender.m_Identity = {Value.vm,
                                static_cast<std::uint64_t>(Value.incarnation)};
  Result.m_Sender.m_Address = Value.address;
  Result.m_Sender.m_FailureDomain = Value.failureDomain;
  Result.m_IsDraining = Value.draining;
  Result.m_ConfigurationVersion =
      static_cast<ConfigurationVersion>(Value.configurationVersion);
  for (const auto &[Account, Count] : Value.outstanding)
    Result.m_Outstanding[Account] = static_cast<std::uint32_t>(Count);
  for (const wire::LeavingEntry &Entry : Value.leaving)
    Result.m_Leaving.push_back({Entry.endpoint, Entry.incarnation});
  for (const wire::LoadEntry &Entry : Value.load)
    Result.m_Load.push_back(fromWire(Entry));
  for (const wire::PeerEntry &Entry : Value.peers)
    Result.m_Peers.push_back(fromWire(Entry));
  return Result;
}

wire::KeptAnswer toWire(const RemoteAnswer &Value) {
  wire::KeptAnswer Result;
  Result.state = static_cast<wire::AnswerState::type>(Value.m_State);
  Result.outcome = std::string(name(Value.m_Outcome));
  Result.status = Value.m_Status;
  Result.contentType = Value.m_ContentType;
  Result.body = Value.m_Body;
  Result.tokens = static_cast<std::int32_t>(Value.m_Tokens);
  Result.accountKeySha256 = Value.m_AccountKeySha256;
  return Result;
}

RemoteAnswer fromWire(const wire::KeptAnswer &Value) {
  RemoteAnswer Result;
  if (Value.state == wire::AnswerState::IN_PROGRESS)
    Result.m_State = RemoteAnswer::State::InProgress;
  else if (Value.state == wire::AnswerState::ENDED)
    Result.m_State = RemoteAnswer::State::Ended;
  Result.m_Outcome = outcomeFromName(Value.outcome).value_or(Outcome::Unknown);
  Result.m_Status = Value.status;
  Result.m_ContentType = Value.contentType;
  Result.m_Body = Value.body;
  Result.m_Tokens = static_cast<std::uint32_t>(Value.tokens);
  Result.m_AccountKeySha256 = Value.accountKeySha256;
  return Result;
}

} // namespace parsleyring
