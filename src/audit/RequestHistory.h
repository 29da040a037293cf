#ifndef PARSLEYRING_AUDIT_REQUESTHISTORY_H
#define PARSLEYRING_AUDIT_REQUESTHISTORY_H

#include "audit/AuditRecord.h"
#include "audit/SequenceCheck.h"

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

/// What the audit records of any number of VMs tell about one request.
class RequestHistory {
public:
  /// Another request of the same client account with the same idempotency key.
  struct SameKey {
    std::string m_Request;
    std::vector<AuditRecord> m_Records;
  };

  struct Gap {
    Incarnation m_Writer;
    SequenceGap m_Gap;
  };

  /// Reads the files, up to three times each: the requests with the same key
  /// are known only after the first reading. Throws AuditFileError.
  static RequestHistory fromFiles(const OwnedId &Id,
                                  const std::vector<std::string> &Files);

  bool isFound() const { return !m_Records.empty(); }
  const Incarnation &owner() const { return m_Owner; }
  const std::string &requestId() const { return m_RequestId; }

  /// The records of the request, in the order of time.
  const std::vector<AuditRecord> &records() const { return m_Records; }
  const std::vector<SameKey> &sameKey() const { return m_SameKey; }
  /// Missing records of the VMs that the request or one with its key met.
  const std::vector<Gap> &gaps() const { return m_Gaps; }
  std::uint64_t recordCount() const { return m_RecordCount; }
  std::uint64_t skippedLines() const { return m_SkippedLines; }

  // What was in force at the owner of the request at that time; null if no
  // record tells.
  const AuditRecord *configuration(ConfigurationVersion Version) const;
  const AuditRecord *membershipAt(Time At) const;
  /// The last record that takes the endpoint out of use.
  const AuditRecord *endpointAt(const std::string &Endpoint,
                                const std::string &State, Time At) const;

private:
  class Reading;

  Incarnation m_Owner;
  std::string m_RequestId;
  std::vector<AuditRecord> m_Records;
  std::vector<SameKey> m_SameKey;
  std::vector<Gap> m_Gaps;
  /// Records of the owner that are not about one request.
  std::vector<AuditRecord> m_Conditions;
  std::uint64_t m_RecordCount = 0;
  std::uint64_t m_SkippedLines = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_REQUESTHISTORY_H
