#include "membership/LoadDigest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleyring {

using nlohmann::json;

// Digests come several times a second, and some are lost.
static constexpr Duration DigestLifetime = std::chrono::milliseconds(1500);
// A digest on the way does not extend a suspicion beyond what its sender has.
static constexpr std::int64_t MaxSuspectMs = 5000;

std::string LoadDigest::encode() const {
  json Loads = json::array();
  for (const Load &Entry : m_Loads)
    Loads.push_back({Entry.m_Endpoint, Entry.m_Tokens, Entry.m_Running,
                     Entry.m_Pace, Entry.m_SuspectMs});
  std::vector<std::uint8_t> Bytes =
      json::to_cbor(json{{"vm", m_VM}, {"n", m_Number}, {"loads", Loads}});
  return {Bytes.begin(), Bytes.end()};
}

std::optional<LoadDigest> LoadDigest::decode(const std::string &Bytes) {
  json Root = json::from_cbor(Bytes, true, false);
  if (!Root.is_object() || !Root.contains("vm") || !Root["vm"].is_string() ||
      !Root.contains("n") || !Root["n"].is_number_unsigned() ||
      !Root.contains("loads") || !Root["loads"].is_array())
    return std::nullopt;
  LoadDigest Digest;
  Digest.m_VM = Root["vm"].get<std::string>();
  Digest.m_Number = Root["n"].get<std::uint64_t>();
  for (const json &Entry : Root["loads"]) {
    if (!Entry.is_array() || Entry.size() < 5 || !Entry[0].is_string() ||
        !Entry[1].is_number() || !Entry[2].is_number_unsigned() ||
        !Entry[3].is_number() || !Entry[4].is_number_integer())
      return std::nullopt;
    Digest.m_Loads.push_back(
        {Entry[0].get<std::string>(), Entry[1].get<double>(),
         Entry[2].get<std::uint32_t>(), Entry[3].get<double>(),
         Entry[4].get<std::int64_t>()});
  }
  return Digest;
}

std::vector<FleetTable::Handle>
LoadDigestTable::take(const LoadDigest &Digest, FleetTable &Fleet, Time Now) {
  Entry &Known = m_Entries[Digest.m_VM];
  bool IsOld = Digest.m_Number <= Known.m_Digest.m_Number &&
               Now - Known.m_ReceivedAt < DigestLifetime;
  if (IsOld)
    return {};
  Known = {Digest, Now};
  std::vector<FleetTable::Handle> NewSuspects;
  for (const LoadDigest::Load &Load : Digest.m_Loads) {
    FleetTable::Handle Endpoint = Fleet.find(Load.m_Endpoint);
    if (!Endpoint)
      continue;
    if (Load.m_Pace > Endpoint->pace(Now)) {
      Endpoint->notePace(Load.m_Pace, Now);
      Endpoint->m_IsOwnPace = false;
    }
    if (Load.m_SuspectMs <= 0)
      continue;
    if (Endpoint->m_SuspectUntil <= Now) {
      NewSuspects.push_back(Endpoint);
      Endpoint->m_IsOwnSuspicion = false;
    }
    Time Until = Now + std::chrono::milliseconds(
                           std::min(Load.m_SuspectMs, MaxSuspectMs));
    Endpoint->m_SuspectUntil = std::max(Endpoint->m_SuspectUntil, Until);
  }
  refresh(Fleet, Now);
  return NewSuspects;
}

void LoadDigestTable::refresh(FleetTable &Fleet, Time Now) {
  for (auto Known = m_Entries.begin(); Known != m_Entries.end();) {
    bool IsSilent = Now - Known->second.m_ReceivedAt >= DigestLifetime;
    Known = IsSilent ? m_Entries.erase(Known) : std::next(Known);
  }
  for (const auto &[Id, Endpoint] : Fleet.endpoints()) {
    Endpoint->m_PeerTokens = 0;
    Endpoint->m_PeerRunning = 0;
  }
  for (const auto &[VM, Known] : m_Entries)
    for (const LoadDigest::Load &Load : Known.m_Digest.m_Loads)
      if (FleetTable::Handle Endpoint = Fleet.find(Load.m_Endpoint)) {
        Endpoint->m_PeerTokens += Load.m_Tokens;
        Endpoint->m_PeerRunning += Load.m_Running;
      }
}

LoadDigest LoadDigestTable::own(const std::string &VM, const FleetTable &Fleet,
                                Time Now) {
  LoadDigest Digest;
  Digest.m_VM = VM;
  Digest.m_Number = ++m_OwnNumber;
  for (const auto &[Id, Endpoint] : Fleet.endpoints()) {
    std::int64_t SuspectMs = 0;
    // Only what this VM has found out; passing others' words on would keep a
    // suspicion alive for ever.
    if (Endpoint->m_IsOwnSuspicion && Endpoint->m_SuspectUntil > Now)
      SuspectMs = (Endpoint->m_SuspectUntil - Now).count() / 1000;
    double Pace = Endpoint->m_IsOwnPace ? Endpoint->pace(Now) : 1;
    if (Endpoint->m_Running == 0 && SuspectMs == 0 && Pace <= 1)
      continue;
    Digest.m_Loads.push_back(
        {Id, Endpoint->m_Tokens, Endpoint->m_Running, Pace, SuspectMs});
  }
  return Digest;
}

} // namespace parsleyring
