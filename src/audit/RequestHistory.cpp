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

static WriterKey writerKey(const Incarnation &Writer) {
  return {Writer.m_VM, Writer.m_Number};
}

static void sortByTime(std::vector<AuditRecord> &Records) {
  std::sort(Records.begin(), Records.end(),
            [](const AuditRecord &Left, const AuditRecord &Right) {
              return std::make_tuple(Left.m_At, writerKey(Left.m_Writer),
                                     Left.m_Sequence) <
                     std::make_tuple(Right.m_At, writerKey(Right.m_Writer),
                                     Right.m_Sequence);
            });
}

/// One pass over all files; a record that occurs twice is reported once.
class RequestHistory::FileScan {
public:
  explicit FileScan(const std::vector<std::string> &Files) {
    for (const std::string &File : Files)
      open(File);
  }

  void run(const std::function<void(AuditRecord &&)> &Consume) {
    for (std::ifstream &File : m_Files) {
      std::string Line;
      while (std::getline(File, Line))
        if (!Line.empty())
          processLine(Line, Consume);
      if (File.bad())
        throw AuditFileError("cannot read a file of audit records");
    }
  }

  std::uint64_t m_AcceptedRecords = 0;
  std::uint64_t m_SkippedCount = 0;
  std::map<WriterKey, SequenceTracker> m_Sequences;

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

  void processLine(const std::string &Line,
                   const std::function<void(AuditRecord &&)> &Consume) {
    auto Record = AuditRecord::fromLine(Line);
    if (!Record) {
      ++m_SkippedCount;
      return;
    }
    if (!m_Sequences[writerKey(Record->m_Writer)].add(Record->m_Sequence,
                                                      Record->m_At))
      return;
    ++m_AcceptedRecords;
    Consume(std::move(*Record));
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
  FileScan FirstScan(Files);
  FirstScan.run([&](AuditRecord &&Record) {
    if (Record.m_Kind == AuditKind::CoreEvent)
      return;
    if (Record.m_Request == Result.m_RequestId)
      Result.m_Records.push_back(std::move(Record));
    else if (writerKey(Record.m_Writer) == writerKey(Id.m_Owner) &&
             (Record.m_Kind == AuditKind::Configuration ||
              Record.m_Kind == AuditKind::Membership ||
              Record.m_Kind == AuditKind::Endpoint))
      Result.m_StateRecords.push_back(std::move(Record));
  });
  Result.m_RecordCount = FirstScan.m_AcceptedRecords;
  Result.m_SkippedLines = FirstScan.m_SkippedCount;
  sortByTime(Result.m_Records);
  sortByTime(Result.m_StateRecords);

  std::set<WriterKey> Writers = {writerKey(Id.m_Owner)};
  std::map<std::string, std::vector<AuditRecord>> SameKeyRecords;
  auto AccountAndKey = accountAndKey(Result.m_Records);
  if (!AccountAndKey.second.empty()) {
    FileScan(Files).run([&](AuditRecord &&Record) {
      if (Record.m_Request != Result.m_RequestId && !Record.m_Request.empty() &&
          accountAndKey(Record) == AccountAndKey)
        SameKeyRecords[Record.m_Request];
    });
    FileScan(Files).run([&](AuditRecord &&Record) {
      auto Found = SameKeyRecords.find(Record.m_Request);
      if (Found != SameKeyRecords.end() &&
          Record.m_Kind != AuditKind::CoreEvent)
        Found->second.push_back(std::move(Record));
    });
  }
  for (auto &[Request, Records] : SameKeyRecords) {
    sortByTime(Records);
    for (const AuditRecord &Record : Records)
      Writers.insert(writerKey(Record.m_Writer));
    Result.m_SameKeyRequests.push_back({Request, std::move(Records)});
  }
  std::sort(Result.m_SameKeyRequests.begin(), Result.m_SameKeyRequests.end(),
            [](const SameKeyRequest &Left, const SameKeyRequest &Right) {
              return Left.m_Records.front().m_At < Right.m_Records.front().m_At;
            });
  for (const WriterKey &Writer : Writers)
    for (const SequenceGap &Gap : FirstScan.m_Sequences[Writer].gaps())
      Result.m_Gaps.push_back({{Writer.first, Writer.second}, Gap});
  return Result;
}

const AuditRecord *
RequestHistory::configuration(ConfigurationVersion Version) const {
  for (const AuditRecord &Record : m_StateRecords)
    if (Record.m_Kind == AuditKind::Configuration && Record.flag("accepted") &&
        Record.number("version") == static_cast<std::int64_t>(Version))
      return &Record;
  return nullptr;
}

const AuditRecord *RequestHistory::membershipAt(Time At) const {
  const AuditRecord *Result = nullptr;
  for (const AuditRecord &Record : m_StateRecords)
    if (Record.m_Kind == AuditKind::Membership && Record.has("live_peers") &&
        Record.m_At <= At)
      Result = &Record;
  return Result;
}

const AuditRecord *RequestHistory::endpointAt(const std::string &Endpoint,
                                              const std::string &State,
                                              Time At) const {
  const AuditRecord *Result = nullptr;
  for (const auto *Records : {&m_StateRecords, &m_Records})
    for (const AuditRecord &Record : *Records)
      if (Record.m_Kind == AuditKind::Endpoint && Record.m_At <= At &&
          Record.text("endpoint") == Endpoint &&
          Record.text("state") == State &&
          (!Result || Result->m_At <= Record.m_At))
        Result = &Record;
  return Result;
}

} // namespace parsleyring
