#ifndef PARSLEYRING_ENDPOINTS_HTTPFAILURE_H
#define PARSLEYRING_ENDPOINTS_HTTPFAILURE_H

#include "endpoints/EndpointAttempt.h"
#include "http/EndpointConnection.h"

namespace parsleyring {

/// Timeout for connecting to an endpoint. Links have latencies up to about
/// 100 ms; the kernel resends a lost SYN only after 1 s, which is not awaited.
inline constexpr std::chrono::milliseconds ConnectTimeout(800);

/// Report for a request whose answer was not received completely.
AttemptReport failureReport(const EndpointConnection &Connection,
                            httplib::Error Error);

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_HTTPFAILURE_H
