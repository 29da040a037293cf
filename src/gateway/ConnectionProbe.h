#ifndef PARSLEYRING_GATEWAY_CONNECTIONPROBE_H
#define PARSLEYRING_GATEWAY_CONNECTIONPROBE_H

#include "parsleyring/Types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace parsleyring {

/// What came of opening a connection.
enum class ProbeResult {
  Accepted,
  Refused, ///< The host answers, but no process listens there.
  Unknown, ///< No answer in time, or another error.
};

/// Opens a connection to Address (IP:port) and closes it again without sending
/// anything. OnResult is called once, from the event loop.
void probeConnection(boost::asio::io_context &Loop, const std::string &Address,
                     Duration Timeout,
                     std::function<void(ProbeResult)> OnResult);

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CONNECTIONPROBE_H
