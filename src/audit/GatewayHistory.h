#ifndef PARSLEYRING_AUDIT_GATEWAYHISTORY_H
#define PARSLEYRING_AUDIT_GATEWAYHISTORY_H

#include "parsleyring/Types.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// What the logs of gateways tell about one request, over all VMs that it met,
/// and what those VMs learnt about endpoints and the store meanwhile.
class GatewayHistory {
public:
  /// Reads log lines; whatever stands before the JSON object of a line is
  /// skipped, as are other lines. Throws AuditFileError if a file cannot be
  /// read.
  GatewayHistory(const std::string &RequestId,
                 const std::vector<std::string> &Files);
  ~GatewayHistory();

  bool isFound() const { return !m_OwnLines.empty(); }
  std::uint64_t lineCount() const { return m_LineCount; }
  /// One line for each decision, in the order of time.
  void write(std::ostream &Output) const;

private:
  struct Line;

  void read(std::istream &File, const std::string &RequestId);
  void keepContext();
  void writeLine(std::ostream &Output, const Line &Shown) const;

  std::vector<Line> m_OwnLines;
  std::vector<Line> m_Context; ///< Lines about no request.
  std::uint64_t m_LineCount = 0;
  std::uint64_t m_LeftOut = 0; ///< Lines that the VMs concerned left out.
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_GATEWAYHISTORY_H
