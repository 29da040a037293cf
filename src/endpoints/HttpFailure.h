#ifndef PARSLEYRING_ENDPOINTS_HTTPFAILURE_H
#define PARSLEYRING_ENDPOINTS_HTTPFAILURE_H

#include "endpoints/EndpointAttempt.h"
#include "http/EndpointConnection.h"

namespace parsleyring {

/// Time to connect to an endpoint. Links take up to some 100 ms; one repeat of
/// a lost SYN comes after 1 s and is not waited for.
inline constexpr std::chrono::milliseconds ConnectLimit(800);

/// The report of a request that brought no whole answer.
AttemptReport failureReport(const EndpointConnection &Connection,
                            httplib::Error Error);

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_HTTPFAILURE_H
