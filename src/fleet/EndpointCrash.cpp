#include "fleet/EndpointCrash.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using nlohmann::json;

// The id of a prompt part has no colon.
static constexpr std::string_view RequestPrefix = "request:";

std::string EndpointCrash::requestSuspect(const std::string &Fingerprint) {
  return std::string(RequestPrefix) + Fingerprint;
}

bool EndpointCrash::isRequestSuspect(const std::string &Id) {
  return Id.compare(0, RequestPrefix.size(), RequestPrefix) == 0;
}

std::string EndpointCrash::encode() const {
  json Suspects = json::array();
  for (const Suspect &Each : m_Suspects) {
    json Entry{{"part", Each.m_Id},
               {"requests", Each.m_Requests},
               {"was_answered", Each.m_WasAnswered}};
    if (Each.m_SentAt != Time{})
      Entry["sent_us"] = Each.m_SentAt.time_since_epoch().count();
    Suspects.push_back(std::move(Entry));
  }
  return json{{"engine", m_Endpoint},
              {"at_us", m_At.time_since_epoch().count()},
              {"suspects", Suspects}}
      .dump();
}

static bool isSuspect(const json &Entry) {
  return Entry.is_object() && Entry.contains("part") &&
         Entry["part"].is_string() && Entry.contains("requests") &&
         Entry["requests"].is_number_unsigned() &&
         Entry.contains("was_answered") && Entry["was_answered"].is_boolean() &&
         (!Entry.contains("sent_us") || Entry["sent_us"].is_number_integer());
}

std::optional<EndpointCrash> EndpointCrash::parse(const std::string &Text) {
  json Root = json::parse(Text, nullptr, false);
  if (!Root.is_object() || !Root.contains("engine") ||
      !Root["engine"].is_string() || !Root.contains("at_us") ||
      !Root["at_us"].is_number_integer() || !Root.contains("suspects") ||
      !Root["suspects"].is_array())
    return std::nullopt;
  EndpointCrash Crash;
  Crash.m_Endpoint = Root["engine"].get<std::string>();
  Crash.m_At = Time(Duration(Root["at_us"].get<std::int64_t>()));
  for (const json &Entry : Root["suspects"]) {
    if (!isSuspect(Entry))
      return std::nullopt;
    Time SentAt(Duration(Entry.value("sent_us", std::int64_t(0))));
    Crash.m_Suspects.push_back({Entry["part"].get<std::string>(),
                                Entry["requests"].get<std::uint32_t>(),
                                Entry["was_answered"].get<bool>(), SentAt});
  }
  return Crash;
}

} // namespace parsleyring
