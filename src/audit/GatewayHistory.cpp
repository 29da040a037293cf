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

// Events up to this long before a request are shown: gateways keep the
// suspicion and the pace of endpoints for about this long, and route by them.
static constexpr std::int64_t ContextMicros = 4'000'000;
static constexpr std::size_t MaxContextLines = 40;

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
  Sort(m_OwnLines);
  Sort(m_Context);
  keepContext();
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
    if (!Read.m_Fields.contains("request"))
      m_Context.push_back(std::move(Read));
    else if (Read.text("request") == RequestId)
      m_OwnLines.push_back(std::move(Read));
  }
}

// Keeps the state changes that the VMs of the request logged around its time.
void GatewayHistory::keepContext() {
  static const std::set<std::string> Telling = {"endpoint-suspect",
                                                "endpoint-slow",
                                                "endpoint-recovered",
                                                "failure-domain-suspect",
                                                "endpoint-unlisted",
                                                "store-lost",
                                                "store-available",
                                                "start",
                                                "stop",
                                                "end"};
  std::vector<Line> Kept;
  if (!m_OwnLines.empty()) {
    const Line &Last = m_OwnLines.back();
    std::int64_t Begin =
        m_OwnLines.front().m_AtMicros -
        static_cast<std::int64_t>(Last.number("taken_ms") * 1000) -
        ContextMicros;
    std::set<std::string> VMs;
    for (const Line &Own : m_OwnLines)
      VMs.insert(Own.m_VM);
    for (Line &Each : m_Context) {
      if (!VMs.count(Each.m_VM) || Each.m_AtMicros < Begin ||
          Each.m_AtMicros > Last.m_AtMicros)
        continue;
      m_LeftOut += static_cast<std::uint64_t>(Each.number("lines_left_out"));
      if (Telling.count(Each.m_Event))
        Kept.push_back(std::move(Each));
    }
  }
  m_Context = std::move(Kept);
  for (const Line &Own : m_OwnLines)
    m_LeftOut += static_cast<std::uint64_t>(Own.number("lines_left_out"));
}

void GatewayHistory::writeLine(std::ostream &Output, const Line &Shown) const {
  using Sentence = std::function<std::string(const Line &)>;
  static const std::map<std::string, Sentence> Sentences = {
      {"request-refused",
       [](const Line &L) {
         return "refused before the search for a path: " + L.text("reason");
       }},
      {"request-waits",
       [](const Line &L) {
         return "waits for capacity at the engines for at most " +
                L.text("at_most_ms") + " ms, after: " + L.text("reason");
       }},
      {"path-rejected",
       [](const Line &L) {
         return "path rejected with " + L.text("status") + " by " +
                L.text("at") + " at " + L.text("address") +
                "; the request did not run";
       }},
      {"stream-moved",
       [](const Line &L) {
         return "resent after event " + L.text("after_event") +
                ", because of: " + L.text("reason") + "; path " +
                L.text("path");
       }},
      {"repath",
       [](const Line &L) {
         return "no event for " + L.text("silent_ms") +
                " ms; asked the first engine to use the path " + L.text("path");
       }},
      {"repath-answer",
       [](const Line &L) {
         return L.number("status") == 0
                    ? std::string("the first engine did not answer")
                    : "the first engine answered " + L.text("status");
       }},
      {"endpoint-suspect",
       [](const Line &L) {
         return "excluded " + L.text("endpoint") +
                " from new paths: " + L.text("reason");
       }},
      {"endpoint-slow",
       [](const Line &L) {
         return L.text("endpoint") + " reported " + L.text("pace") +
                " times its usual pace";
       }},
      {"request-end",
       [](const Line &L) {
         std::string Text = L.text("outcome") + ", " + L.text("reason") +
                            ", status " + L.text("status") + " after " +
                            L.text("taken_ms") + " ms; configuration " +
                            L.text("configuration");
         for (const char *Field :
              {"sends", "events", "first_event_ms", "waited_ms",
               "longest_pause_ms", "planned_fill", "path"})
           if (L.m_Fields.contains(Field))
             Text += std::string("; ") + Field + " " + L.text(Field);
         return Text;
       }},
  };
  std::int64_t Offset = Shown.m_AtMicros - m_OwnLines.front().m_AtMicros;
  Output << (Offset < 0 ? "-" : "+") << std::abs(Offset) / 1000 << " ms "
         << Shown.m_VM << ": ";
  auto Known = Sentences.find(Shown.m_Event);
  if (Known != Sentences.end()) {
    Output << Known->second(Shown) << '\n';
    return;
  }
  Output << Shown.m_Event;
  for (const auto &[Name, Value] : Shown.m_Fields.items())
    if (Name != "at_us" && Name != "vm" && Name != "event" && Name != "request")
      Output << ' ' << Name << '=' << Value.dump();
  Output << '\n';
}

void GatewayHistory::write(std::ostream &Output) const {
  const Line &First = m_OwnLines.front();
  Output << "Request " << First.text("request") << ", first line at "
         << First.m_AtMicros << " us since the Unix epoch, VM " << First.m_VM
         << ":\n";
  for (const Line &Own : m_OwnLines)
    writeLine(Output, Own);
  if (!m_Context.empty())
    Output << "State changes on these VMs from 4 s before the request:\n";
  std::size_t Shown = std::min(m_Context.size(), MaxContextLines);
  for (std::size_t Index = m_Context.size() - Shown; Index < m_Context.size();
       ++Index)
    writeLine(Output, m_Context[Index]);
  if (Shown < m_Context.size())
    Output << m_Context.size() - Shown << " earlier lines are not shown.\n";
  if (m_LeftOut > 0)
    Output << m_LeftOut
           << " log lines were dropped in that time; some may have been about "
              "this request.\n";
}

} // namespace parsleyring
