#include "audit/GatewayHistory.h"

#include "audit/RequestHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <ostream>
#include <set>

namespace parsleyring {

using Json = nlohmann::json;

// Events up to this long before a request are shown: gateways choose routes by
// which endpoints are suspected and by their pace, and keep both for about this
// long.
static constexpr std::int64_t ContextMicros = 4'000'000;
static constexpr std::size_t MaxContextLines = 40;

// Names the request whose answer told it, but concerns all later ones.
static constexpr const char *LeavingEvent = "endpoint-leaving";

struct GatewayHistory::Line {
  std::int64_t m_AtMicros = 0;
  std::string m_VM;
  std::string m_Event;
  Json m_Fields;

  std::string text(const char *Field) const {
    auto Found = m_Fields.find(Field);
    if (Found == m_Fields.end())
      return "?";
    return Found->is_string() ? Found->get<std::string>() : Found->dump();
  }
  double number(const char *Field) const {
    auto Found = m_Fields.find(Field);
    return Found != m_Fields.end() && Found->is_number() ? Found->get<double>()
                                                         : 0;
  }
};

GatewayHistory::~GatewayHistory() = default;

GatewayHistory::GatewayHistory(const std::string &RequestId,
                               const std::vector<std::string> &Files) {
  for (const std::string &Path : Files) {
    std::ifstream File(Path);
    if (!File)
      throw AuditFileError(Path + ": cannot be opened");
    read(File, RequestId);
    if (File.bad())
      throw AuditFileError(Path + ": cannot be read");
  }
  auto Sort = [](std::vector<Line> &Lines) {
    std::stable_sort(Lines.begin(), Lines.end(),
                     [](const Line &Left, const Line &Right) {
                       return Left.m_AtMicros < Right.m_AtMicros;
                     });
  };
  Sort(m_RequestLines);
  Sort(m_Context);
  filterContext();
}

void GatewayHistory::read(std::istream &File, const std::string &RequestId) {
  std::string Text;
  while (std::getline(File, Text)) {
    std::size_t Begin = Text.find("{\"at_us\"");
    if (Begin == std::string::npos)
      continue;
    Json Fields = Json::parse(Text.substr(Begin), nullptr, false);
    if (!Fields.is_object() || !Fields.contains("event") ||
        !Fields["at_us"].is_number_integer())
      continue;
    ++m_LineCount;
    Line Read;
    Read.m_AtMicros = Fields["at_us"].get<std::int64_t>();
    Read.m_Fields = std::move(Fields);
    Read.m_VM = Read.text("vm");
    Read.m_Event = Read.text("event");
    bool HasRequest = Read.m_Fields.contains("request");
    if (HasRequest && Read.text("request") == RequestId)
      m_RequestLines.push_back(std::move(Read));
    // These concern all requests, though one of them tells of them.
    else if (!HasRequest || Read.m_Event == "endpoint-rest" ||
             Read.m_Event == LeavingEvent)
      m_Context.push_back(std::move(Read));
  }
}

// Keeps the state changes that the VMs of the request logged around its time.
void GatewayHistory::filterContext() {
  static const std::set<std::string> ContextEvents = {"endpoint-suspect",
                                                      "endpoint-slow",
                                                      "endpoint-recovered",
                                                      "engine-report-invalid",
                                                      "handler-failed",
                                                      "endpoint-rest",
                                                      "endpoint-rest-ended",
                                                      "failure-domain-suspect",
                                                      "endpoint-unlisted",
                                                      LeavingEvent,
                                                      "endpoint-crashed",
                                                      "suspect-quarantined",
                                                      "suspect-released",
                                                      "store-lost",
                                                      "store-available",
                                                      "store-items-unconfirmed",
                                                      "store-items-confirmed",
                                                      "start",
                                                      "stop",
                                                      "end"};
  std::vector<Line> Kept;
  if (!m_RequestLines.empty()) {
    const Line &Last = m_RequestLines.back();
    std::int64_t Begin =
        m_RequestLines.front().m_AtMicros -
        static_cast<std::int64_t>(Last.number("taken_ms") * 1000) -
        ContextMicros;
    std::set<std::string> VMs;
    for (const Line &RequestLine : m_RequestLines)
      VMs.insert(RequestLine.m_VM);
    for (Line &Each : m_Context) {
      if (!VMs.count(Each.m_VM) || Each.m_AtMicros < Begin ||
          Each.m_AtMicros > Last.m_AtMicros)
        continue;
      m_DroppedLineCount +=
          static_cast<std::uint64_t>(Each.number("lines_left_out"));
      if (ContextEvents.count(Each.m_Event))
        Kept.push_back(std::move(Each));
    }
  }
  m_Context = std::move(Kept);
  for (const Line &RequestLine : m_RequestLines)
    m_DroppedLineCount +=
        static_cast<std::uint64_t>(RequestLine.number("lines_left_out"));
}

void GatewayHistory::writeLine(std::ostream &Output, const Line &Shown) const {
  using Sentence = std::function<std::string(const Line &)>;
  static const std::map<std::string, Sentence> Sentences = {
      {"request-refused",
       [](const Line &Logged) {
         return "refused before the search for a path: " +
                Logged.text("reason");
       }},
      {"attempt-abandoned",
       [](const Line &Logged) {
         return "path given up: " + Logged.text("reason") + ", silent for " +
                Logged.text("silent_ms") + " ms after " +
                Logged.text("events") + " events";
       }},
      {"attempt-silent",
       [](const Line &Logged) {
         return "left open, and sent elsewhere as well: " +
                Logged.text("reason") + ", silent for " +
                Logged.text("silent_ms") + " ms after " +
                Logged.text("events") + " events; path " + Logged.text("path");
       }},
      {"attempt-resumed",
       [](const Line &Logged) {
         return "goes on with an earlier attempt after " +
                Logged.text("events") + " events; path " + Logged.text("path");
       }},
      {"foreign-answer",
       [](const Line &Logged) {
         return "skipped the copy of an answer to " +
                Logged.text("other_request") + " from " +
                Logged.text("endpoint");
       }},
      {"request-waits",
       [](const Line &Logged) {
         return "waits for capacity at the engines for at most " +
                Logged.text("at_most_ms") +
                " ms, after: " + Logged.text("reason");
       }},
      {"path-rejected",
       [](const Line &Logged) {
         return "path rejected with " + Logged.text("status") + " by " +
                Logged.text("at") + " at " + Logged.text("address") +
                "; the request did not run";
       }},
      {"stream-moved",
       [](const Line &Logged) {
         return "resent after event " + Logged.text("after_event") +
                ", because of: " + Logged.text("reason") + "; path " +
                Logged.text("path");
       }},
      {"repath",
       [](const Line &Logged) {
         return "no event for " + Logged.text("silent_ms") +
                " ms; asked the first engine to use the path " +
                Logged.text("path");
       }},
      {"repath-answer",
       [](const Line &Logged) {
         return Logged.number("status") == 0
                    ? std::string("the first engine did not answer")
                    : "the first engine answered " + Logged.text("status");
       }},
      {"endpoint-suspect",
       [](const Line &Logged) {
         return "excluded " + Logged.text("endpoint") +
                " from new paths: " + Logged.text("reason");
       }},
      {"endpoint-rest",
       [](const Line &Logged) {
         return Logged.text("endpoint") + " asked for no requests for " +
                Logged.text("rest_ms") + " ms";
       }},
      {"endpoint-rest-ended",
       [](const Line &Logged) {
         return Logged.text("endpoint") + " gets requests again";
       }},
      {"endpoints-resting",
       [](const Line &Logged) {
         return "only endpoints of " + Logged.text("service") +
                " that asked for no requests are left, the first one for " +
                Logged.text("rest_ms") + " ms; the caller may return after " +
                Logged.text("retry_after_ms") + " ms";
       }},
      {LeavingEvent,
       [](const Line &Logged) {
         std::string Source = Logged.m_Fields.contains("by")
                                  ? "told by " + Logged.text("by")
                                  : "stated in an answer";
         return Logged.text("endpoint") + " is leaving, " + Source +
                "; it gets no new requests";
       }},
      {"endpoint-crashed",
       [](const Line &Logged) {
         return Logged.text("endpoint") + " crashed; " +
                Logged.text("suspects") +
                " prompt parts or requests may have caused it";
       }},
      {"suspect-quarantined",
       [](const Line &Logged) {
         return "refuses requests with " + Logged.text("suspect") +
                ", which explains " + Logged.text("crashes") + " crashes";
       }},
      {"suspect-released",
       [](const Line &Logged) {
         return "sends requests with " + Logged.text("suspect") + " again";
       }},
      {"endpoint-slow",
       [](const Line &Logged) {
         return Logged.text("endpoint") + " reported " + Logged.text("pace") +
                " times its usual pace";
       }},
      {"handler-failed",
       [](const Line &Logged) {
         return "failed to handle an event (" + Logged.text("handler") +
                "): " + Logged.text("error");
       }},
      {"engine-report-invalid",
       [](const Line &Logged) {
         return Logged.text("endpoint") +
                " sent an invalid report: " + Logged.text("finding");
       }},
      {"request-end",
       [](const Line &Logged) {
         std::string Text = Logged.text("outcome") + ", " +
                            Logged.text("reason") + ", status " +
                            Logged.text("status") + " after " +
                            Logged.text("taken_ms") + " ms; configuration " +
                            Logged.text("configuration");
         for (const char *Field :
              {"sends", "events", "first_event_ms", "waited_ms",
               "longest_pause_ms", "planned_fill", "path"})
           if (Logged.m_Fields.contains(Field))
             Text += std::string("; ") + Field + " " + Logged.text(Field);
         return Text;
       }},
  };
  std::int64_t Offset = Shown.m_AtMicros - m_RequestLines.front().m_AtMicros;
  Output << (Offset < 0 ? "-" : "+") << std::abs(Offset) / 1000 << " ms "
         << Shown.m_VM << ": ";
  auto KnownSentence = Sentences.find(Shown.m_Event);
  if (KnownSentence != Sentences.end()) {
    Output << KnownSentence->second(Shown) << '\n';
    return;
  }
  Output << Shown.m_Event;
  for (const auto &[Name, Value] : Shown.m_Fields.items())
    if (Name != "at_us" && Name != "vm" && Name != "event" && Name != "request")
      Output << ' ' << Name << '=' << Value.dump();
  Output << '\n';
}

void GatewayHistory::write(std::ostream &Output) const {
  const Line &First = m_RequestLines.front();
  Output << "Request " << First.text("request") << ", first line at "
         << First.m_AtMicros << " us since the Unix epoch, VM " << First.m_VM
         << ":\n";
  for (const Line &RequestLine : m_RequestLines)
    writeLine(Output, RequestLine);
  if (!m_Context.empty())
    Output << "State changes on these VMs from 4 s before the request:\n";
  std::size_t Shown = std::min(m_Context.size(), MaxContextLines);
  for (std::size_t Index = m_Context.size() - Shown; Index < m_Context.size();
       ++Index)
    writeLine(Output, m_Context[Index]);
  if (Shown < m_Context.size())
    Output << m_Context.size() - Shown << " earlier lines are not shown.\n";
  if (m_DroppedLineCount > 0)
    Output << m_DroppedLineCount
           << " log lines were dropped in that time; some may have been about "
              "this request.\n";
}

} // namespace parsleyring
