#ifndef PARSLEYRING_CALLERS_REQUESTSTATEHANDLER_H
#define PARSLEYRING_CALLERS_REQUESTSTATEHANDLER_H

#include "callers/CallerContext.h"

namespace parsleyring {

struct Exchange;

/// Handles GET /v1/requests/ID?from=N: the state of a request and, while it is
/// retained, its answer from a token position on. Requests of other VMs are
/// looked up at the VM that owns the id.
class RequestStateHandler {
public:
  explicit RequestStateHandler(const CallerContext &Context)
      : m_Context(Context) {}

  void handle(Exchange &Call) const;

private:
  std::optional<RemoteAnswer> find(const OwnedId &Id, std::uint32_t From) const;

  const CallerContext &m_Context;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_REQUESTSTATEHANDLER_H
