#ifndef PARSLEYRING_AUDIT_GATEWAYHISTORY_H
#define PARSLEYRING_AUDIT_GATEWAYHISTORY_H

#include "parsleyring/Types.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// The log lines of gateways about one request on all VMs that handled it, and
/// the state changes of endpoints and the store that these VMs logged
/// meanwhile.
class GatewayHistory {
public:
  /// Reads log lines. Text before the JSON object of a line and lines without
  /// one are skipped. Throws AuditFileError if a file cannot be read.
  GatewayHistory(const std::string &RequestId,
                 const std::vector<std::string> &Files);
  ~GatewayHistory();

  bool isFound() const { return !m_RequestLines.empty(); }
  std::uint64_t lineCount() const { return m_LineCount; }
  /// Writes one line for each decision, ordered by time.
  void write(std::ostream &Output) const;

private:
  struct Line;

  void read(std::istream &File, const std::string &RequestId);
  void filterContext();
  void writeLine(std::ostream &Output, const Line &Shown) const;

  std::vector<Line> m_RequestLines;
  std::vector<Line> m_Context; ///< Lines that are not about a request.
  std::uint64_t m_LineCount = 0;
  std::uint64_t m_DroppedLineCount = 0; ///< Lines that these VMs did not log.
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_GATEWAYHISTORY_H
