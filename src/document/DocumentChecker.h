#ifndef PARSLEYRING_DOCUMENT_DOCUMENTCHECKER_H
#define PARSLEYRING_DOCUMENT_DOCUMENTCHECKER_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// Checks the semantics of a document. Findings have keys such as
/// "pool[2].queue_limit" but no file and line; DocumentReader::locate() adds
/// these.
class DocumentChecker {
public:
  /// Allows the route strategies that this program implements.
  DocumentChecker();
  explicit DocumentChecker(const std::vector<std::string> &RouteStrategies);

  /// Returns at most MaxFindings findings and, if there are more, one that
  /// gives their number.
  std::vector<Finding> check(const Document &Value) const;

  static constexpr std::size_t MaxFindings = 100;

private:
  std::vector<std::string> m_RouteStrategies;
};

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTCHECKER_H
