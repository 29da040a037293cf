#include "audit/Replayer.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <istream>
#include <map>

namespace parsleyring {

using Json = nlohmann::json;

namespace {

/// One audit record of a trace.
struct TraceLine {
  std::size_t m_Line = 0;
  std::uint64_t m_Sequence = 0;
  Incarnation m_Writer;
  Json m_Decision; ///< Time, kind, request and fields.
};

/// The replay of one incarnation of a VM.
class IncarnationReplay {
public:
  IncarnationReplay(const TraceCodec &Codec, ReplayReport &Report)
      : m_Codec(Codec), m_Report(Report) {}

  void add(TraceLine &&Line) {
    checkSequence(Line);
    if (Line.m_Decision.count("module"))
      return;
    if (Line.m_Decision.at("kind") == name(AuditKind::CoreEvent))
      addEvent(Line);
    else if (m_Router)
      addDecision(Line);
    else
      addDifference(Line.m_Line, "a decision precedes the start of its Router");
  }

  void finish() {
    for (const Json &Missing : m_ExpectedDecisions)
      addDifference(m_EventLine,
                    "the trace lacks the decision " + Missing.dump());
    m_ExpectedDecisions.clear();
  }

private:
  void checkSequence(const TraceLine &Line) {
    if (Line.m_Sequence != m_Sequence + 1)
      addDifference(Line.m_Line, "records are missing: sequence number " +
                                     std::to_string(Line.m_Sequence) +
                                     " follows " + std::to_string(m_Sequence));
    m_Sequence = Line.m_Sequence;
  }

  void addEvent(const TraceLine &Line) {
    finish();
    m_EventLine = Line.m_Line;
    std::string Fields = Line.m_Decision.dump();
    if (auto Options = TraceCodec::decodeStart(Fields, Line.m_Writer)) {
      m_Router = std::make_unique<Router>(*Options);
      return;
    }
    if (!m_Router)
      throw TraceError("an event precedes the start of its Router");
    ++m_Report.m_Events;
    std::vector<Action> Actions;
    m_Router->handle(
        Time(Duration(Line.m_Decision.at("at_us").get<Duration::rep>())),
        m_Codec.decode(Fields), Actions);
    for (const Action &Each : Actions)
      if (auto *Record = std::get_if<WriteAudit>(&Each))
        m_ExpectedDecisions.push_back(decisionOf(*Record, Line.m_Writer));
  }

  /// The record as AuditWriter writes it, without sequence number and writer.
  static Json decisionOf(const WriteAudit &Record, const Incarnation &Writer) {
    Json Result = Json::parse(Record.m_FieldsJson);
    Result["at_us"] = Record.m_At.time_since_epoch().count();
    Result["kind"] = name(Record.m_Kind);
    if (Record.m_Request != 0)
      Result["request"] = requestId(Writer, Record.m_Request);
    return Result;
  }

  void addDecision(const TraceLine &Line) {
    ++m_Report.m_Decisions;
    if (m_ExpectedDecisions.empty())
      return addDifference(Line.m_Line,
                           "the replay does not make this decision");
    Json Expected = std::move(m_ExpectedDecisions.front());
    m_ExpectedDecisions.pop_front();
    if (Expected != Line.m_Decision)
      addDifference(Line.m_Line, "the replay decides " + Expected.dump());
  }

  void addDifference(std::size_t Line, std::string Message) {
    ++m_Report.m_DifferenceCount;
    if (m_Report.m_Differences.size() < ReplayReport::MaxDifferences)
      m_Report.m_Differences.push_back({Line, std::move(Message)});
  }

  const TraceCodec &m_Codec;
  ReplayReport &m_Report;
  std::unique_ptr<Router> m_Router;
  std::uint64_t m_Sequence = 0;
  std::size_t m_EventLine = 0;
  std::deque<Json> m_ExpectedDecisions; ///< Not found in the trace yet.
};

} // namespace

static TraceLine parseLine(std::size_t Number, const std::string &Text) {
  TraceLine Result;
  Result.m_Line = Number;
  Result.m_Decision = Json::parse(Text);
  Result.m_Sequence = Result.m_Decision.at("seq").get<std::uint64_t>();
  Result.m_Writer = {Result.m_Decision.at("vm").get<std::string>(),
                     Result.m_Decision.at("incarnation").get<std::uint64_t>()};
  for (const char *Field : {"seq", "vm", "incarnation"})
    Result.m_Decision.erase(Field);
  return Result;
}

ReplayReport Replayer::run(std::istream &Trace) const {
  ReplayReport Report;
  std::map<std::pair<std::string, std::uint64_t>, IncarnationReplay> Replays;
  std::string Text;
  for (std::size_t Number = 1; std::getline(Trace, Text); ++Number) {
    if (Text.empty())
      continue;
    try {
      TraceLine Line = parseLine(Number, Text);
      Replays
          .try_emplace({Line.m_Writer.m_VM, Line.m_Writer.m_Number}, m_Codec,
                       Report)
          .first->second.add(std::move(Line));
    } catch (const std::exception &Error) {
      ++Report.m_DifferenceCount;
      if (Report.m_Differences.size() < ReplayReport::MaxDifferences)
        Report.m_Differences.push_back({Number, Error.what()});
    }
  }
  for (auto &[Writer, Each] : Replays)
    Each.finish();
  return Report;
}

} // namespace parsleyring
