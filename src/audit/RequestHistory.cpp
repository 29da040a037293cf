#include "audit/RequestHistory.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <tuple>

namespace parsleyring {

/// Identifies an incarnation; ordered by VM and start.
using WriterKey = std::pair<std::string, std::uint64_t>;

static WriterKey keyOf(const Incarnation &Writer) {
  return {Writer.m_VM, Writer.m_Number};
}

static void sortByTime(std::vector<AuditRecord> &Records) {
  std::sort(Records.begin(), Records.end(),
            [](const AuditRecord &Left, const AuditRecord &Right) {
              return std::make_tuple(Left.m_At, keyOf(Left.m_Writer),
                                     Left.m_Sequence) <
                     std::make_tuple(Right.m_At, keyOf(Right.m_Writer),
                                     Right.m_Sequence);
            });
}

/// One pass over all files; a record that occurs twice is reported once.
class RequestHistory::Reading {
public:
  explicit Reading(const std::vector<std::string> &Files) {
    for (const std::string &File : Files)
      open(File);
  }

  void run(const std::function<void(AuditRecord &&)> &Take) {
    for (std::ifstream &File : m_Files) {
      std::string Line;
      while (std::getline(File, Line))
        if (!Line.empty())
          takeLine(Line, Take);
      if (File.bad())
        throw AuditFileError("cannot read a file of audit records");
    }
  }

  std::uint64_t m_Lines = 0;
  std::uint64_t m_Skipped = 0;
  std::map<WriterKey, SequenceCheck> m_Sequences;

private:
  void open(const std::string &Path) {
    std::error_code Error;
    if (!std::filesystem::is_regular_file(Path, Error))
      throw AuditFileError(Path + ": " +
                           (Error ? Error.message() : "is not a regular file"));
    m_Files.emplace_back(Path);
    if (!m_Files.back())
      throw AuditFileError(Path + ": cannot be opened");
  }

  void takeLine(const std::string &Line,
                const std::function<void(AuditRecord &&)> &Take) {
    auto Record = AuditRecord::fromLine(Line);
    if (!Record) {
      ++m_Skipped;
      return;
    }
    if (!m_Sequences[keyOf(Record->m_Writer)].add(Record->m_Sequence,
                                                  Record->m_At))
      return;
    ++m_Lines;
    Take(std::move(*Record));
  }

  std::vector<std::ifstream> m_Files;
};

/// Returns the account and the hash of the idempotency key of a record.
static std::pair<std::string, std::string>
accountAndKey(const AuditRecord &Record) {
  return {Record.text("account"), Record.text("idempotency_key")};
}

static std::pair<std::string, std::string>
accountAndKey(const std::vector<AuditRecord> &Records) {
  for (const AuditRecord &Record : Records)
    if (!Record.text("idempotency_key").empty())
      return accountAndKey(Record);
  return {};
}

RequestHistory
RequestHistory::fromFiles(const OwnedId &Id,
                          const std::vector<std::string> &Files) {
  RequestHistory Result;
  Result.m_Owner = Id.m_Owner;
  Result.m_RequestId = parsleyring::requestId(Id.m_Owner, Id.m_Number);
  Reading First(Files);
  First.run([&](AuditRecord &&Record) {
    if (Record.m_Kind == AuditKind::CoreEvent)
      return;
    if (Record.m_Request == Result.m_RequestId)
      Result.m_Records.push_back(std::move(Record));
    else if (keyOf(Record.m_Writer) == keyOf(Id.m_Owner) &&
             (Record.m_Kind == AuditKind::Configuration ||
              Record.m_Kind == AuditKind::Membership ||
              Record.m_Kind == AuditKind::Endpoint))
      Result.m_Conditions.push_back(std::move(Record));
  });
  Result.m_RecordCount = First.m_Lines;
  Result.m_SkippedLines = First.m_Skipped;
  sortByTime(Result.m_Records);
  sortByTime(Result.m_Conditions);

  std::set<WriterKey> Concerned = {keyOf(Id.m_Owner)};
  std::map<std::string, std::vector<AuditRecord>> Others;
  auto Wanted = accountAndKey(Result.m_Records);
  if (!Wanted.second.empty()) {
    Reading(Files).run([&](AuditRecord &&Record) {
      if (Record.m_Request != Result.m_RequestId && !Record.m_Request.empty() &&
          accountAndKey(Record) == Wanted)
        Others[Record.m_Request];
    });
    Reading(Files).run([&](AuditRecord &&Record) {
      auto Found = Others.find(Record.m_Request);
      if (Found != Others.end() && Record.m_Kind != AuditKind::CoreEvent)
        Found->second.push_back(std::move(Record));
    });
  }
  for (auto &[Request, Records] : Others) {
    sortByTime(Records);
    for (const AuditRecord &Record : Records)
      Concerned.insert(keyOf(Record.m_Writer));
    Result.m_SameKey.push_back({Request, std::move(Records)});
  }
  std::sort(Result.m_SameKey.begin(), Result.m_SameKey.end(),
            [](const SameKey &Left, const SameKey &Right) {
              return Left.m_Records.front().m_At < Right.m_Records.front().m_At;
            });
  for (const WriterKey &Writer : Concerned)
    for (const SequenceGap &Gap : First.m_Sequences[Writer].gaps())
      Result.m_Gaps.push_back({{Writer.first, Writer.second}, Gap});
  return Result;
}

const AuditRecord *
RequestHistory::configuration(ConfigurationVersion Version) const {
  for (const AuditRecord &Record : m_Conditions)
    if (Record.m_Kind == AuditKind::Configuration && Record.flag("accepted") &&
        Record.number("version") == static_cast<std::int64_t>(Version))
      return &Record;
  return nullptr;
}

const AuditRecord *RequestHistory::membershipAt(Time At) const {
  const AuditRecord *Result = nullptr;
  for (const AuditRecord &Record : m_Conditions)
    if (Record.m_Kind == AuditKind::Membership && Record.has("live_peers") &&
        Record.m_At <= At)
      Result = &Record;
  return Result;
}

const AuditRecord *RequestHistory::endpointAt(const std::string &Endpoint,
                                              const std::string &State,
                                              Time At) const {
  const AuditRecord *Result = nullptr;
  for (const auto *Records : {&m_Conditions, &m_Records})
    for (const AuditRecord &Record : *Records)
      if (Record.m_Kind == AuditKind::Endpoint && Record.m_At <= At &&
          Record.text("endpoint") == Endpoint &&
          Record.text("state") == State &&
          (!Result || Result->m_At <= Record.m_At))
        Result = &Record;
  return Result;
}

} // namespace parsleyring
