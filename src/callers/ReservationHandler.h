#ifndef PARSLEYRING_CALLERS_RESERVATIONHANDLER_H
#define PARSLEYRING_CALLERS_RESERVATIONHANDLER_H

#include "callers/CallerContext.h"

namespace parsleyring {

struct Exchange;

/// Handles POST /v1/reservations: issues a key for one later call. Any VM
/// accepts the key as Idempotency-Key, without access to the platform.
class ReservationHandler {
public:
  explicit ReservationHandler(const CallerContext &Context)
      : m_Context(Context) {}

  void handle(Exchange &Call) const;

private:
  const CallerContext &m_Context;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_RESERVATIONHANDLER_H
