#include "support/TraceShortener.h"

#include <nlohmann/json.hpp>

#include <set>
#include <sstream>
#include <vector>

namespace parsleyring {

using Json = nlohmann::ordered_json;

/// Shorter than the gap that the Router treats as a pause of its VM.
static constexpr std::int64_t LongestGapMicros = 45000;

static bool isEvent(const Json &Record) { return Record.at("kind") == "event"; }

static bool isTick(const Json &Record) {
  return isEvent(Record) && Record.at("event") == "tick";
}

static std::vector<Json> routerRecords(const std::string &Trace) {
  std::vector<Json> Records;
  std::istringstream Lines(Trace);
  for (std::string Line; std::getline(Lines, Line);)
    if (Json Record = Json::parse(Line); !Record.contains("module"))
      Records.push_back(std::move(Record));
  return Records;
}

/// Times of the unsuccessful route searches that later records refer to.
static std::set<std::int64_t> searchTimes(const std::vector<Json> &Records) {
  std::set<std::int64_t> Times;
  for (const Json &Record : Records)
    if (Record.contains("searched_at_us"))
      Times.insert(Record.at("searched_at_us").get<std::int64_t>());
  return Times;
}

/// Number of records up to and including the last one that is a decision, not
/// an event.
static std::size_t countThroughLastDecision(const std::vector<Json> &Records) {
  std::size_t Last = Records.size();
  while (Last > 0 && isEvent(Records[Last - 1]))
    --Last;
  return Last;
}

std::string shortenedTrace(const std::string &Trace) {
  std::vector<Json> Records = routerRecords(Trace);
  std::size_t Count = countThroughLastDecision(Records);
  std::set<std::int64_t> Searches = searchTimes(Records);
  std::string Result;
  std::int64_t KeptAt = 0;
  std::uint64_t Sequence = 0;
  bool HasRequest = false;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Json &Record = Records[Index];
    HasRequest |= Record.contains("request");
    if (isTick(Record)) {
      const Json &Next = Records[Index + 1];
      bool IsNeeded =
          HasRequest &&
          Next.at("at_us").get<std::int64_t>() - KeptAt > LongestGapMicros;
      bool IsSearch = Searches.count(Record.at("at_us")) > 0;
      if (isEvent(Next) && !IsNeeded && !IsSearch)
        continue;
    }
    if (isEvent(Record))
      KeptAt = Record.at("at_us");
    Record["seq"] = ++Sequence;
    Result += Record.dump() + "\n";
  }
  return Result;
}

} // namespace parsleyring
