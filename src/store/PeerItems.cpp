#include "store/PeerItems.h"

#include "core/Cbor.h"

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
                         {"at", m_Version.m_Revision},
                         {"era", m_Version.m_Era},
                         {"complete", m_IsComplete},
                         {"age_us", m_Age.count()}});
  return {Bytes.begin(), Bytes.end()};
}

std::optional<PeerItems> PeerItems::decode(const std::string &Bytes) {
  json Root = parseCbor(Bytes);
  auto HasField = [&](const char *Name, bool (json::*IsType)() const) {
    return Root.contains(Name) && (Root[Name].*IsType)();
  };
  if (!Root.is_object() || !HasField("items", &json::is_array) ||
      !HasField("at", &json::is_number_unsigned) ||
      !HasField("complete", &json::is_boolean) ||
      !HasField("age_us", &json::is_number_integer))
    return std::nullopt;
  PeerItems Result;
  Result.m_Version.m_Revision = Root["at"].get<std::uint64_t>();
  // VMs of earlier versions tell no era.
  if (HasField("era", &json::is_number_unsigned))
    Result.m_Version.m_Era = Root["era"].get<std::uint64_t>();
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
          PathPrefix + std::to_string(m_Version.m_Revision) + "/" +
              std::to_string(m_Wait.count()) + "/" +
              std::to_string(m_Version.m_Era),
          ""};
}

// The era is missing in calls of VMs of earlier versions.
std::optional<PeerItemsCall> PeerItemsCall::parse(const std::string &Target) {
  if (Target.compare(0, PathPrefix.size(), PathPrefix) != 0)
    return std::nullopt;
  std::uint64_t Numbers[3] = {};
  std::size_t Count = 0;
  const char *At = Target.data() + PathPrefix.size();
  const char *End = Target.data() + Target.size();
  while (Count < std::size(Numbers)) {
    auto [Next, Error] = std::from_chars(At, End, Numbers[Count++]);
    if (Error != std::errc())
      return std::nullopt;
    At = Next;
    if (At == End || *At != '/')
      break;
    ++At;
  }
  if (At != End || Count < 2 || Target.back() == '/' ||
      Numbers[1] > static_cast<std::uint64_t>(Duration::max().count()))
    return std::nullopt;
  PeerItemsCall Call;
  Call.m_Version = {Numbers[2], Numbers[0]};
  Call.m_Wait = Duration(static_cast<std::int64_t>(Numbers[1]));
  return Call;
}

} // namespace parsleyring
