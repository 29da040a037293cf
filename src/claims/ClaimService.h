#ifndef PARSLEYRING_CLAIMS_CLAIMSERVICE_H
#define PARSLEYRING_CLAIMS_CLAIMSERVICE_H

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"

#include <functional>

namespace parsleyring {

/// Decides which VM may run a non-idempotent call that has an idempotency key.
/// Non-blocking and thread-safe.
class ClaimService {
public:
  virtual ~ClaimService() = default;

  /// Calls Done exactly once, from any thread, by the request's deadline (plus
  /// scheduling delay).
  virtual void claim(const RequestClaim &Request,
                     std::function<void(const ClaimSettled &)> Done) = 0;

  /// Records how a granted claim ended.
  virtual void end(const EndClaim &End) = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMSERVICE_H
