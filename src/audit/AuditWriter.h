#ifndef PARSLEYRING_AUDIT_AUDITWRITER_H
#define PARSLEYRING_AUDIT_AUDITWRITER_H

#include "parsleyring/Actions.h"

#include <iosfwd>
#include <mutex>
#include <string>
#include <string_view>

namespace parsleyring {

/// Writes audit records as JSON lines with gapless sequence numbers.
/// Thread-safe.
class AuditWriter {
public:
  /// Output must outlive the writer.
  AuditWriter(const Incarnation &Self, std::ostream &Output);

  /// Throws std::invalid_argument, without using a sequence number, if the
  /// fields are not a JSON object on one line. Module names the part of the
  /// process that decided if it is not the Router; replays skip such records.
  void write(const WriteAudit &Record, std::string_view Module = {});

  /// Number of records that could not be written.
  std::uint64_t writeFailures() const;

private:
  const Incarnation m_Self;
  const std::string m_SelfJson; ///< The fields "vm" and "incarnation".
  mutable std::mutex m_Mutex;   ///< Guards the members below.
  std::ostream &m_Output;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_WriteFailures = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_AUDITWRITER_H
