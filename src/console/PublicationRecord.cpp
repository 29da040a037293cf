#include "console/PublicationRecord.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::ordered_json;

/// Limits of the difference in a record: 15 KB even for a large import.
static constexpr std::size_t MaxLines = 50;
static constexpr std::size_t MaxLineBytes = 300;

static Json summary(const std::vector<std::string> &Difference) {
  Json Lines = Json::array();
  for (std::size_t At = 0; At < Difference.size() && At < MaxLines; ++At)
    Lines.push_back(Difference[At].substr(0, MaxLineBytes));
  return Lines;
}

/// Replaces malformed UTF-8: summary() may cut a line within a character.
static std::string text(const Json &Fields) {
  return Fields.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void PublicationRecord::write(
    const std::string &Event, const std::string &Status,
    ConfigurationVersion Version,
    const std::vector<std::string> &Difference) const {
  Json Fields{{"event", Event},
              {"status", Status},
              {"operator", m_Call.m_Operator},
              {"remote", m_Call.m_Request.m_Remote},
              {"submission", m_Submission},
              {"base_version", m_BaseVersion}};
  if (Version > 0)
    Fields["version"] = Version;
  Fields["changes"] = Difference.size();
  Fields["difference"] = summary(Difference);
  m_Call.m_Context.m_WriteAudit(
      {AuditKind::Configuration, m_Call.m_Now, 0, text(Fields)});
}

void PublicationRecord::writeStart(
    const std::vector<std::string> &Difference) const {
  write("publication", "started", 0, Difference);
}

void PublicationRecord::write(
    PublicationStatus Status, ConfigurationVersion Version,
    const std::vector<std::string> &Difference) const {
  ++m_Call.m_Context.m_Counters
        .m_Publications[static_cast<std::size_t>(Status)];
  write("publication", std::string(name(Status)), Version, Difference);
}

void PublicationRecord::writeForgery(const ConsoleContext &Context, Time Now,
                                     const ConsoleRequest &Request,
                                     const std::string &Operator) {
  Json Fields{{"event", "publication"},
              {"status", "forged"},
              {"operator", Operator},
              {"remote", Request.m_Remote}};
  Context.m_WriteAudit({AuditKind::Configuration, Now, 0, text(Fields)});
}

} // namespace parsleyring
