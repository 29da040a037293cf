#include "claims/ClaimShard.h"

#include "claims/ClaimKey.h"
#include "core/NameTable.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

static constexpr NameTable<ClaimState, 3> ClaimStateNames{
    {"claimed", "released", "completed"}};

std::string_view name(ClaimState Value) { return ClaimStateNames.name(Value); }

static ClaimEntry entryFromJson(const nlohmann::json &Json) {
  ClaimEntry Entry;
  Entry.m_BodyHash = Json.at("body").get<std::string>();
  Entry.m_Writer.m_VM = Json.at("vm").get<std::string>();
  Entry.m_Writer.m_Number = Json.at("incarnation").get<std::uint64_t>();
  Entry.m_Nonce = Json.at("nonce").get<std::string>();
  auto State = ClaimStateNames.value(Json.at("state").get<std::string>());
  if (!State)
    throw ClaimShardError("claim entry has an unknown state");
  Entry.m_State = *State;
  Entry.m_Status = Json.at("status").get<int>();
  Entry.m_ClaimedAt = Time(Duration(Json.at("at").get<std::int64_t>()));
  return Entry;
}

ClaimShard ClaimShard::fromText(const std::string &Text) {
  ClaimShard Shard;
  if (Text.empty())
    return Shard;
  try {
    nlohmann::json Json = nlohmann::json::parse(Text);
    Shard.m_Generation = Json.at("generation").get<std::uint64_t>();
    for (const auto &Item : Json.at("claims").items())
      Shard.m_Entries.emplace(Item.key(), entryFromJson(Item.value()));
  } catch (const nlohmann::json::exception &Error) {
    throw ClaimShardError(std::string("malformed claim shard: ") +
                          Error.what());
  }
  return Shard;
}

std::string ClaimShard::toText() const {
  nlohmann::json Claims = nlohmann::json::object();
  for (const auto &[Hash, Entry] : m_Entries)
    Claims[Hash] = {{"body", Entry.m_BodyHash},
                    {"vm", Entry.m_Writer.m_VM},
                    {"incarnation", Entry.m_Writer.m_Number},
                    {"nonce", Entry.m_Nonce},
                    {"state", name(Entry.m_State)},
                    {"status", Entry.m_Status},
                    {"at", Entry.m_ClaimedAt.time_since_epoch().count()}};
  nlohmann::json Json = {{"generation", m_Generation},
                         {"claims", std::move(Claims)}};
  return Json.dump();
}

const ClaimEntry *ClaimShard::find(const std::string &Hash) const {
  auto Found = m_Entries.find(Hash);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

ClaimEntry *ClaimShard::find(const std::string &Hash) {
  auto Found = m_Entries.find(Hash);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

void ClaimShard::put(const std::string &Hash, const ClaimEntry &Entry) {
  m_Entries[Hash] = Entry;
}

void ClaimShard::removeExpired(Time Now) {
  for (auto Entry = m_Entries.begin(); Entry != m_Entries.end();)
    Entry = Entry->second.m_ClaimedAt + ClaimEntryLifetime < Now
                ? m_Entries.erase(Entry)
                : std::next(Entry);
}

} // namespace parsleyring
