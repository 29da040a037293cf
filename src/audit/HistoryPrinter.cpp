#include "audit/HistoryPrinter.h"

#include "audit/RecordDescription.h"
#include "core/TimeFormat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace parsleyring {

static std::string incarnationText(const Incarnation &Writer) {
  return "VM " + Writer.m_VM + " (started " +
         formatTime(Time(Duration(Writer.m_Number))) + ")";
}

void HistoryPrinter::write(std::ostream &Output) const {
  writeHeader(Output);
  writeContext(Output);
  writeRecords(Output);
  writeSameKeyRequests(Output);
  writeMissingRecords(Output);
}

void HistoryPrinter::writeHeader(std::ostream &Output) const {
  Output << "Request " << m_History.requestId() << ", received by "
         << incarnationText(m_History.owner()) << ".\n";
}

void HistoryPrinter::writeContext(std::ostream &Output) const {
  const std::vector<AuditRecord> &Records = m_History.records();
  auto First = std::find_if(
      Records.begin(), Records.end(),
      [](const AuditRecord &Record) { return Record.has("configuration"); });
  // The records that contain the version are missing.
  if (First == Records.end())
    return;
  auto Version =
      static_cast<ConfigurationVersion>(First->number("configuration"));
  if (const AuditRecord *Applied = m_History.configuration(Version))
    Output << "Configuration version " << Version
           << " was in force on this VM from " << formatTime(Applied->m_At)
           << " on.\n";
  else if (Version == 0)
    Output << "No configuration was in force on this VM.\n";
  else
    Output << "No record shows when configuration version " << Version
           << " came into force on this VM.\n";
  const AuditRecord *Membership = m_History.membershipAt(First->m_At);
  if (!Membership)
    return;
  Output << "Other live routers at that time: "
         << Membership->number("live_peers")
         << "; unreachable failure domains: ";
  auto Domains = Membership->m_Fields->find("unreachable_domains");
  bool HasDomains = Domains != Membership->m_Fields->end() &&
                    Domains->is_array() && !Domains->empty();
  Output << (HasDomains ? Domains->dump() : "none") << ".\n";
}

void HistoryPrinter::writeRecords(std::ostream &Output) const {
  bool HasOutcome = false;
  for (const AuditRecord &Record : m_History.records()) {
    HasOutcome |= Record.m_Kind == AuditKind::Outcome;
    Output << formatTime(Record.m_At) << "  [" << Record.m_Writer.m_VM << " "
           << Record.m_Sequence << "] " << describeRecord(m_History, Record)
           << '\n';
  }
  if (!HasOutcome)
    Output << "No record of the outcome: the request had not ended, the VM "
              "was lost, or its later records are not in the files.\n";
}

void HistoryPrinter::writeSameKeyRequests(std::ostream &Output) const {
  for (const RequestHistory::SameKeyRequest &Other :
       m_History.sameKeyRequests()) {
    const AuditRecord &First = Other.m_Records.front();
    Output << "The same idempotency key was used by request " << Other.m_Request
           << " at VM " << First.m_Writer.m_VM << ":\n";
    for (const AuditRecord &Record : Other.m_Records)
      if (Record.m_Kind == AuditKind::Admission ||
          Record.m_Kind == AuditKind::Claim ||
          Record.m_Kind == AuditKind::Outcome)
        Output << "  " << formatTime(Record.m_At) << "  ["
               << Record.m_Writer.m_VM << " " << Record.m_Sequence << "] "
               << describeRecord(m_History, Record) << '\n';
  }
}

void HistoryPrinter::writeMissingRecords(std::ostream &Output) const {
  for (const RequestHistory::Gap &Gap : m_History.gaps()) {
    const SequenceGap &Missing = Gap.m_Gap;
    if (Missing.m_First == Missing.m_Last)
      Output << "Record " << Missing.m_First << " of "
             << incarnationText(Gap.m_Writer) << " is missing, ";
    else
      Output << "Records " << Missing.m_First << " to " << Missing.m_Last
             << " of " << incarnationText(Gap.m_Writer) << " are missing, ";
    if (Gap.m_Gap.m_After)
      Output << "written from " << formatTime(*Gap.m_Gap.m_After) << " to ";
    else
      Output << "written before ";
    Output << formatTime(Gap.m_Gap.m_Before) << ".\n";
  }
  if (m_History.gaps().empty())
    Output << "No records are missing up to the last ones in the files, for "
              "all VMs involved.\n";
  Output << m_History.recordCount() << " records read, "
         << m_History.skippedLines() << " other lines skipped.\n";
}

} // namespace parsleyring
