#include "store/VMLease.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

const std::string VMLease::VMPrefix = "parsleyring/vms/";
const std::string VMLease::DutyKey = "parsleyring/placement-duty";

// Time from the death of the leader until a new one can be elected.
static constexpr Duration TimeToLive = std::chrono::seconds(6);
static constexpr Duration RenewInterval = std::chrono::milliseconds(1800);
static constexpr Duration RetryInterval = std::chrono::milliseconds(700);
// The leader gives up leadership this long before its lease can expire.
static constexpr Duration LeaseMargin = std::chrono::seconds(1);
static constexpr Duration CallLimit = std::chrono::milliseconds(1500);

VMLease::VMLease(boost::asio::io_context &Loop, StoreClient &Client,
                 const StoreProtocol &Protocol, std::function<Time()> Now,
                 std::string StoreAddress, ListedVM Self)
    : m_Client(Client), m_Protocol(Protocol), m_Now(std::move(Now)),
      m_StoreAddress(std::move(StoreAddress)), m_Self(std::move(Self)),
      m_Incarnation(m_Self.m_Name + " " +
                    std::to_string(m_Now().time_since_epoch().count())),
      m_Timer(Loop) {}

std::string VMLease::entryText(const ListedVM &VM) {
  return nlohmann::json{{"name", VM.m_Name},
                        {"peer_address", VM.m_PeerAddress},
                        {"failure_domain", VM.m_FailureDomain}}
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
  return VM;
}

void VMLease::noteDuty(const std::string &Holder, std::uint64_t Revision) {
  bool WasFree = m_IsDutyKnown && !m_DutyHolder.empty() && Holder.empty();
  m_IsDutyKnown = true;
  m_DutyHolder = Holder;
  m_DutyRevision = Revision;
  if (WasFree && m_IsListed)
    claimDuty();
}

bool VMLease::holdsDuty(Time Now) const {
  return m_IsDutyKnown && m_DutyHolder == m_Incarnation && m_Lease != 0 &&
         Now - m_ConfirmedAt < TimeToLive - LeaseMargin;
}

void VMLease::stepLater(Duration Delay) {
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
  m_Client.call(m_StoreAddress, m_Protocol.grantCall(TimeToLive), CallLimit,
                [this, SentAt](const CallReply &Reply) {
                  std::optional<std::uint64_t> Lease;
                  if (Reply.isOk())
                    Lease = m_Protocol.parseLease(Reply.m_Body);
                  if (!Lease) {
                    stepLater(RetryInterval);
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
  Put.m_Value = entryText(m_Self);
  Put.m_Lease = m_Lease;
  m_Client.call(m_StoreAddress, m_Protocol.putCall(Put), CallLimit,
                [this](const CallReply &Reply) {
                  m_IsListed = Reply.isOk();
                  if (Reply.m_Status == 404)
                    m_Lease = 0;
                  if (m_IsListed)
                    claimDuty();
                  stepLater(m_IsListed ? RenewInterval : RetryInterval);
                });
}

void VMLease::renew() {
  Time SentAt = m_Now();
  m_Client.call(m_StoreAddress, m_Protocol.renewCall(m_Lease), CallLimit,
                [this, SentAt](const CallReply &Reply) {
                  if (Reply.isOk()) {
                    m_ConfirmedAt = SentAt;
                    claimDuty();
                    stepLater(RenewInterval);
                    return;
                  }
                  if (Reply.m_Status == 404) {
                    m_Lease = 0;
                    m_IsListed = false;
                  }
                  stepLater(RetryInterval);
                });
}

// Claims leadership if there is no leader, or if the leader is an earlier
// process of this VM, which has ended.
void VMLease::claimDuty() {
  if (!m_IsDutyKnown || m_DutyHolder == m_Incarnation || m_IsStopped)
    return;
  bool IsOwnEarlier = m_DutyHolder.compare(0, m_Self.m_Name.size() + 1,
                                           m_Self.m_Name + " ") == 0;
  if (!m_DutyHolder.empty() && !IsOwnEarlier)
    return;
  StorePut Put;
  Put.m_Key = DutyKey;
  Put.m_Value = m_Incarnation;
  Put.m_ExpectedRevision = m_DutyHolder.empty() ? 0 : m_DutyRevision;
  Put.m_Lease = m_Lease;
  // The answer is ignored, since the watched key shows the result.
  m_Client.call(m_StoreAddress, m_Protocol.putCall(Put), CallLimit,
                [](const CallReply &) {});
}

void VMLease::stop() {
  m_IsStopped = true;
  m_Timer.cancel();
  if (m_Lease == 0)
    return;
  m_Client.call(m_StoreAddress, m_Protocol.revokeCall(m_Lease), CallLimit,
                [](const CallReply &) {});
  m_Lease = 0;
}

} // namespace parsleyring
