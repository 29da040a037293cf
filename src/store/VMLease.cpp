#include "store/VMLease.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

const std::string VMLease::VMPrefix = "parsleyring/vms/";
const std::string VMLease::LeaderKey = "parsleyring/placement-duty";

// Time from the death of the leader until a new one can be elected.
static constexpr Duration TimeToLive = std::chrono::seconds(6);
static constexpr Duration RenewInterval = std::chrono::milliseconds(1800);
static constexpr Duration RetryInterval = std::chrono::milliseconds(700);
// The leader gives up leadership this long before its lease can expire.
static constexpr Duration LeaseMargin = std::chrono::seconds(1);
static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
// Spreads the calls of many VMs after the store has been restored.
static constexpr Duration MaxRestorationDelay = std::chrono::milliseconds(600);

VMLease::VMLease(boost::asio::io_context &Loop, StoreClient &Client,
                 const StoreProtocol &Protocol, std::function<Time()> Now,
                 std::string StoreAddress, ListedVM Self)
    : m_Client(Client), m_Protocol(Protocol), m_Now(std::move(Now)),
      m_StoreAddress(std::move(StoreAddress)), m_Self(std::move(Self)),
      m_Incarnation(m_Self.m_Name + " " +
                    std::to_string(m_Now().time_since_epoch().count())),
      m_Timer(Loop), m_Random(std::random_device{}()) {}

std::string VMLease::encodeEntry(const ListedVM &VM) {
  return nlohmann::json{{"name", VM.m_Name},
                        {"peer_address", VM.m_PeerAddress},
                        {"failure_domain", VM.m_FailureDomain},
                        {"cores", VM.m_Cores}}
      .dump();
}

std::optional<ListedVM> VMLease::parseEntry(const std::string &Text) {
  auto Entry = nlohmann::json::parse(Text, nullptr, false);
  ListedVM VM;
  auto Read = [&](const char *Field, std::string &Target) {
    if (!Entry.is_object() || !Entry.contains(Field) ||
        !Entry[Field].is_string())
      return false;
    Target = Entry[Field].get<std::string>();
    return true;
  };
  if (!Read("name", VM.m_Name) || !Read("peer_address", VM.m_PeerAddress) ||
      !Read("failure_domain", VM.m_FailureDomain))
    return std::nullopt;
  // Entries of earlier versions have no capacity.
  if (Entry.contains("cores") && Entry["cores"].is_number())
    VM.m_Cores = Entry["cores"].get<double>();
  return VM;
}

void VMLease::noteLeader(const std::string &Leader, std::uint64_t Revision) {
  bool WasReleased = m_IsLeaderKnown && !m_Leader.empty() && Leader.empty();
  m_IsLeaderKnown = true;
  m_Leader = Leader;
  m_LeaderRevision = Revision;
  if (WasReleased && m_IsListed)
    claimLeadership();
}

void VMLease::noteRestored() {
  Time Now = m_Now();
  // The leader of before may not have heard of the restoration yet.
  if (m_Leader != m_Incarnation)
    m_MayLeadFrom = Now + TimeToLive;
  m_IsClaimOutdated = true;
  m_Lease = 0;
  m_IsListed = false;
  if (m_IsStopped)
    return;
  // All VMs hear of it at about the same time.
  scheduleStep(Duration(m_Random() % MaxRestorationDelay.count()));
}

bool VMLease::isLeader(Time Now) const {
  return Now >= m_MayLeadFrom && m_IsLeaderKnown && m_Leader == m_Incarnation &&
         m_Lease != 0 && Now - m_ConfirmedAt < TimeToLive - LeaseMargin;
}

void VMLease::scheduleStep(Duration Delay) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      step();
  });
}

void VMLease::step() {
  if (m_IsStopped)
    return;
  if (m_Lease == 0) {
    grant();
    return;
  }
  if (!m_IsListed) {
    putEntry();
    return;
  }
  renew();
}

void VMLease::grant() {
  Time SentAt = m_Now();
  m_Client.call(m_StoreAddress, m_Protocol.grantCall(TimeToLive), CallTimeout,
                [this, SentAt](const CallReply &Reply) {
                  std::optional<std::uint64_t> Lease;
                  if (Reply.isOk())
                    Lease = m_Protocol.parseLease(Reply.m_Body);
                  if (!Lease) {
                    scheduleStep(RetryInterval);
                    return;
                  }
                  m_Lease = *Lease;
                  m_ConfirmedAt = SentAt;
                  step();
                });
}

void VMLease::putEntry() {
  StorePut Put;
  Put.m_Key = VMPrefix + m_Self.m_Name;
  Put.m_Value = encodeEntry(m_Self);
  Put.m_Lease = m_Lease;
  m_Client.call(m_StoreAddress, m_Protocol.putCall(Put), CallTimeout,
                [this](const CallReply &Reply) {
                  m_IsListed = Reply.isOk();
                  if (Reply.m_Status == 404)
                    m_Lease = 0;
                  if (m_IsListed)
                    claimLeadership();
                  scheduleStep(m_IsListed ? RenewInterval : RetryInterval);
                });
}

void VMLease::renew() {
  Time SentAt = m_Now();
  m_Client.call(m_StoreAddress, m_Protocol.renewCall(m_Lease), CallTimeout,
                [this, SentAt](const CallReply &Reply) {
                  if (Reply.isOk()) {
                    m_ConfirmedAt = SentAt;
                    claimLeadership();
                    scheduleStep(RenewInterval);
                    return;
                  }
                  if (Reply.m_Status == 404) {
                    m_Lease = 0;
                    m_IsListed = false;
                  }
                  scheduleStep(RetryInterval);
                });
}

// Claims leadership if there is no leader, or if the leader is an earlier
// process of this VM, which has ended.
void VMLease::claimLeadership() {
  if (!m_IsLeaderKnown || m_IsStopped || m_Lease == 0 ||
      m_Now() < m_MayLeadFrom)
    return;
  bool IsOwn = m_Leader == m_Incarnation;
  if (IsOwn && !m_IsClaimOutdated)
    return;
  bool IsOwnEarlier =
      m_Leader.compare(0, m_Self.m_Name.size() + 1, m_Self.m_Name + " ") == 0;
  if (!m_Leader.empty() && !IsOwnEarlier)
    return;
  m_IsClaimOutdated = false;
  StorePut Put;
  Put.m_Key = LeaderKey;
  Put.m_Value = m_Incarnation;
  Put.m_ExpectedRevision = m_Leader.empty() ? 0 : m_LeaderRevision;
  Put.m_Lease = m_Lease;
  // The answer is ignored, since the watched key shows the result.
  m_Client.call(m_StoreAddress, m_Protocol.putCall(Put), CallTimeout,
                [](const CallReply &) {});
}

void VMLease::stop() {
  m_IsStopped = true;
  m_Timer.cancel();
  if (m_Lease == 0)
    return;
  m_Client.call(m_StoreAddress, m_Protocol.revokeCall(m_Lease), CallTimeout,
                [](const CallReply &) {});
  m_Lease = 0;
}

} // namespace parsleyring
