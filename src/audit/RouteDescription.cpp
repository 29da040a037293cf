#include "audit/RouteDescription.h"

#include "core/TimeFormat.h"
#include "parsleyring/Router.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr std::string_view CostStrategy = "estimated-cost";

namespace {

/// Endpoint and layers of a stage or a candidate.
struct RouteEndpoint {
  std::string m_Endpoint;
  std::int64_t m_First = 0;
  std::int64_t m_End = 0;

  explicit RouteEndpoint(const Json &From)
      : m_Endpoint(From.at("endpoint").get<std::string>()),
        m_First(From.value("first_layer", std::int64_t(0))),
        m_End(From.value("end_layer", std::int64_t(0))) {}

  std::string layers() const {
    return "[" + std::to_string(m_First) + ", " + std::to_string(m_End) + ")";
  }
};

struct ReasonText {
  std::string_view m_Reason;
  std::string_view m_Text;
};

} // namespace

static constexpr ReasonText ExclusionTexts[] = {
    {"leaving", "was leaving"},
    {"quarantined", "was quarantined"},
    {"unavailable", "was unavailable after failed connections"},
    {"other-layers", "holds layers that do not fit this model"},
    {"unreachable-domain", "is in a failure domain that was unreachable"},
    {"failed-before", "was avoided because it had failed this request"},
    {"no-free-slot", "had no free slot for this VM"},
    {"no-onward-route", "was usable, but no usable endpoint continued after "
                        "its layers"},
};

static std::string exclusionText(const std::string &Reason) {
  for (const ReasonText &Each : ExclusionTexts)
    if (Each.m_Reason == Reason)
      return std::string(Each.m_Text);
  return "was excluded as \"" + Reason + "\"";
}

static const Json &listOf(const AuditRecord &Record, const char *Field) {
  static const Json Empty = Json::array();
  auto Found = Record.m_Fields->find(Field);
  return Found != Record.m_Fields->end() && Found->is_array() ? *Found : Empty;
}

static std::string microsText(double Micros) {
  return formatDuration(Duration(static_cast<Duration::rep>(Micros)));
}

/// Returns since when and why an endpoint is quarantined or leaving.
static std::string causeText(const RequestHistory &History, Time At,
                             const std::string &Endpoint,
                             const std::string &Reason) {
  const AuditRecord *Cause = History.endpointAt(Endpoint, Reason, At);
  if (!Cause)
    return {};
  std::string Text = " (since " + formatTime(Cause->m_At);
  for (const char *Field : {"reason", "sign"})
    if (!Cause->text(Field).empty())
      Text += ", " + std::string(Field) + " \"" + Cause->text(Field) + "\"";
  if (Cause->number("length_us") > 0)
    Text += ", for " + formatDuration(Duration(Cause->number("length_us")));
  if (!Cause->m_Request.empty() && Cause->m_Request != History.requestId())
    Text += ", detected at request " + Cause->m_Request;
  return Text + ")";
}

static std::string exclusionsText(const RequestHistory &History,
                                  const AuditRecord &Record) {
  std::string Text;
  for (const Json &Each : listOf(Record, "excluded")) {
    auto Endpoint = Each.at("endpoint").get<std::string>();
    auto Reason = Each.at("reason").get<std::string>();
    Text += " " + Endpoint + " " + exclusionText(Reason) +
            causeText(History, Record.m_At, Endpoint, Reason) + ".";
  }
  return Text;
}

static std::string candidatesText(const AuditRecord &Record,
                                  const std::vector<RouteEndpoint> &Chosen) {
  std::string Text;
  std::string Layers;
  // The stage of a plain service has no layers.
  bool HasLayers =
      Chosen.empty() || Chosen.front().m_End > Chosen.front().m_First;
  for (const Json &Each : listOf(Record, "candidates")) {
    RouteEndpoint Candidate(Each);
    if (Text.empty() || Candidate.layers() != Layers)
      Text += (Text.empty() ? "" : ".") + std::string(" Candidates") +
              (HasLayers ? " for layers " + Candidate.layers() : "") +
              " with estimated cost: ";
    else
      Text += ", ";
    Layers = Candidate.layers();
    Text += Candidate.m_Endpoint + " " +
            microsText(Each.at("estimate_us").get<double>());
    if (std::any_of(Chosen.begin(), Chosen.end(),
                    [&](const RouteEndpoint &Stage) {
                      return Stage.m_Endpoint == Candidate.m_Endpoint;
                    }))
      Text += " (chosen)";
    if (Each.value("quarantined", false))
      Text += " (quarantined for stalls, used as a last resort)";
  }
  if (Text.empty())
    return Text;
  // The whole route is optimised, so a chosen stage may not be the cheapest.
  return Text + (Chosen.size() > 1 && Record.text("strategy") == CostStrategy
                     ? ". The delay of links between failure domains is added "
                       "for the whole route."
                     : ".");
}

/// Lists endpoints that had failed the request and were chosen nevertheless.
static std::string
repeatedEndpointsText(const AuditRecord &Record,
                      const std::vector<RouteEndpoint> &Chosen) {
  std::string Text;
  for (const Json &Each : listOf(Record, "avoid"))
    for (const RouteEndpoint &Stage : Chosen)
      if (Each.is_string() && Each.get<std::string>() == Stage.m_Endpoint)
        Text += " " + Stage.m_Endpoint +
                " had failed this request and was chosen again, since no "
                "complete route existed without the failed endpoints.";
  return Text;
}

/// Returns the time since the previous record, if the request had to wait.
static std::string waitText(const RequestHistory &History,
                            const AuditRecord &Record) {
  Time Before = Record.m_At;
  for (const AuditRecord &Each : History.records())
    if (Each.m_At < Record.m_At)
      Before = Each.m_At;
  Duration Waited = Record.m_At - Before;
  return Waited <= TickInterval ? std::string()
                                : " It had waited " + formatDuration(Waited) +
                                      " for its turn or for a usable route.";
}

static std::string chosenRouteText(const AuditRecord &Record,
                                   const std::vector<RouteEndpoint> &Chosen) {
  std::string Text =
      "Attempt " + std::to_string(Record.number("attempt")) + " was sent to ";
  for (std::size_t Index = 0; Index < Chosen.size(); ++Index) {
    Text += (Index ? ", then " : "") + Chosen[Index].m_Endpoint;
    if (Chosen[Index].m_End > Chosen[Index].m_First)
      Text += " " + Chosen[Index].layers();
  }
  if (Record.number("position") > 0)
    Text += ", to resume after " + std::to_string(Record.number("position")) +
            " delivered tokens";
  return Text + ". The strategy \"" + Record.text("strategy") +
         "\" chose this route under configuration version " +
         std::to_string(Record.number("configuration")) + " (seed " +
         std::to_string(Record.number("seed")) +
         "), with an estimated time to first answer of " +
         formatDuration(Duration(Record.number("estimated_first_token_us"))) +
         ".";
}

static std::string failedSearchText(const AuditRecord &Record) {
  bool IsSaturated = Record.text("decision") == "saturated";
  return std::string("No route was found in time. At the last search, at ") +
         formatTime(Time(Duration(Record.number("searched_at_us")))) + ", " +
         (IsSaturated
              ? "routes existed, but each had an endpoint without a free slot."
              : "the usable endpoints did not form a complete route.");
}

std::string describeRoute(const RequestHistory &History,
                          const AuditRecord &Record) {
  std::vector<RouteEndpoint> Chosen;
  for (const Json &Each : listOf(Record, "stages"))
    Chosen.emplace_back(Each);
  std::string Text = Chosen.empty() ? failedSearchText(Record)
                                    : chosenRouteText(Record, Chosen) +
                                          waitText(History, Record);
  return Text + candidatesText(Record, Chosen) +
         repeatedEndpointsText(Record, Chosen) +
         exclusionsText(History, Record);
}

} // namespace parsleyring
