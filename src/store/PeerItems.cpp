#include "store/PeerItems.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace parsleyring {

using nlohmann::json;

static const std::string PathPrefix = "/peer/items-after/";

std::string PeerItems::encode() const {
  json Items = json::array();
  for (const StoreItem &Item : m_Items)
    Items.push_back(
        {Item.m_Key, Item.m_Value, Item.m_Revision, Item.m_IsDeleted});
  std::vector<std::uint8_t> Bytes =
      json::to_cbor(json{{"items", Items},
                         {"at", m_Revision},
                         {"complete", m_IsComplete},
                         {"age_us", m_Age.count()}});
  return {Bytes.begin(), Bytes.end()};
}

std::optional<PeerItems> PeerItems::decode(const std::string &Bytes) {
  json Root = json::from_cbor(Bytes, true, false);
  auto HasField = [&](const char *Name, bool (json::*IsType)() const) {
    return Root.contains(Name) && (Root[Name].*IsType)();
  };
  if (!Root.is_object() || !HasField("items", &json::is_array) ||
      !HasField("at", &json::is_number_unsigned) ||
      !HasField("complete", &json::is_boolean) ||
      !HasField("age_us", &json::is_number_integer))
    return std::nullopt;
  PeerItems Result;
  Result.m_Revision = Root["at"].get<std::uint64_t>();
  Result.m_IsComplete = Root["complete"].get<bool>();
  Result.m_Age = Duration(Root["age_us"].get<std::int64_t>());
  for (const json &Entry : Root["items"]) {
    if (!Entry.is_array() || Entry.size() < 4 || !Entry[0].is_string() ||
        !Entry[1].is_string() || !Entry[2].is_number_unsigned() ||
        !Entry[3].is_boolean())
      return std::nullopt;
    Result.m_Items.push_back(
        {Entry[0].get<std::string>(), Entry[1].get<std::string>(),
         Entry[2].get<std::uint64_t>(), Entry[3].get<bool>()});
  }
  return Result;
}

StoreCall PeerItemsCall::call() const {
  return {"GET",
          PathPrefix + std::to_string(m_Revision) + "/" +
              std::to_string(m_Wait.count()),
          ""};
}

std::optional<PeerItemsCall> PeerItemsCall::parse(const std::string &Target) {
  if (Target.compare(0, PathPrefix.size(), PathPrefix) != 0)
    return std::nullopt;
  PeerItemsCall Call;
  const char *End = Target.data() + Target.size();
  auto [Slash, Error] =
      std::from_chars(Target.data() + PathPrefix.size(), End, Call.m_Revision);
  if (Error != std::errc() || Slash == End || *Slash != '/')
    return std::nullopt;
  std::int64_t Wait = 0;
  auto [Last, WaitError] = std::from_chars(Slash + 1, End, Wait);
  if (WaitError != std::errc() || Last != End || Wait < 0)
    return std::nullopt;
  Call.m_Wait = Duration(Wait);
  return Call;
}

} // namespace parsleyring
