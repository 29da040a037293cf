#ifndef PARSLEYRING_DOCUMENT_DOCUMENTCHECKER_H
#define PARSLEYRING_DOCUMENT_DOCUMENTCHECKER_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// Checks what a document means. Findings have keys like "pool[2].queue_limit"
/// but no file and line; DocumentReader::locate() adds these.
class DocumentChecker {
public:
  /// Allows the strategies that this program implements.
  DocumentChecker();
  explicit DocumentChecker(const std::vector<std::string> &RouteStrategies);

  /// Lists at most MaxFindings problems, and then says that there are more.
  std::vector<Finding> check(const Document &Value) const;

  static constexpr std::size_t MaxFindings = 100;

private:
  std::vector<std::string> m_RouteStrategies;
};

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTCHECKER_H
