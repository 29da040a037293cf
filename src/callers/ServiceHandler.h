#ifndef PARSLEYRING_CALLERS_SERVICEHANDLER_H
#define PARSLEYRING_CALLERS_SERVICEHANDLER_H

#include "callers/CallerContext.h"

#include <string_view>

namespace parsleyring {

struct Exchange;

/// The parts of a path "/services/POOL/PATH".
struct ServicePath {
  std::string m_Pool;
  std::string m_Path; ///< Starts with "/".
};

/// Empty if the text is not of that form.
std::optional<ServicePath> parseServicePath(std::string_view Text);

/// Handles all methods of /services/POOL/PATH: calls to plain services.
class ServiceHandler {
public:
  explicit ServiceHandler(const CallerContext &Context) : m_Context(Context) {}

  void handle(Exchange &Call) const;

private:
  const CallerContext &m_Context;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_SERVICEHANDLER_H
