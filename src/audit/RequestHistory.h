#ifndef PARSLEYRING_AUDIT_REQUESTHISTORY_H
#define PARSLEYRING_AUDIT_REQUESTHISTORY_H

#include "audit/AuditRecord.h"
#include "audit/SequenceTracker.h"

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace parsleyring {

/// A file of audit records that cannot be read.
class AuditFileError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The audit records of any number of VMs that concern one request.
class RequestHistory {
public:
  /// Another request of the same client account with the same idempotency key.
  struct SameKeyRequest {
    std::string m_Request;
    std::vector<AuditRecord> m_Records;
  };

  struct Gap {
    Incarnation m_Writer;
    SequenceGap m_Gap;
  };

  /// Reads each file up to three times: the requests with the same key are
  /// known only after earlier passes. Throws AuditFileError.
  static RequestHistory fromFiles(const OwnedId &Id,
                                  const std::vector<std::string> &Files);

  bool isFound() const { return !m_Records.empty(); }
  const Incarnation &owner() const { return m_Owner; }
  const std::string &requestId() const { return m_RequestId; }

  /// The records of the request, ordered by time.
  const std::vector<AuditRecord> &records() const { return m_Records; }
  const std::vector<SameKeyRequest> &sameKeyRequests() const {
    return m_SameKeyRequests;
  }
  /// Missing records of the VMs that handled the request or one with its key.
  const std::vector<Gap> &gaps() const { return m_Gaps; }
  std::uint64_t recordCount() const { return m_RecordCount; }
  std::uint64_t skippedLines() const { return m_SkippedLines; }

  // Records of the owner VM's state; null if there is none.

  /// The record of the VM's acceptance of the version.
  const AuditRecord *configuration(ConfigurationVersion Version) const;
  /// The last record up to At that lists the live peers.
  const AuditRecord *membershipAt(Time At) const;
  /// The last record up to At that put the endpoint into the state.
  const AuditRecord *endpointAt(const std::string &Endpoint,
                                const std::string &State, Time At) const;

private:
  class FileScan;

  Incarnation m_Owner;
  std::string m_RequestId;
  std::vector<AuditRecord> m_Records;
  std::vector<SameKeyRequest> m_SameKeyRequests;
  std::vector<Gap> m_Gaps;
  /// Configuration, membership and endpoint records of the owner VM.
  std::vector<AuditRecord> m_StateRecords;
  std::uint64_t m_RecordCount = 0;
  std::uint64_t m_SkippedLines = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_REQUESTHISTORY_H
