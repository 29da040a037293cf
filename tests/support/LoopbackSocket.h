#ifndef PARSLEYRING_TESTS_SUPPORT_LOOPBACKSOCKET_H
#define PARSLEYRING_TESTS_SUPPORT_LOOPBACKSOCKET_H

#include <string>

namespace parsleyring {

/// A TCP socket on a free loopback port. It does not listen yet.
int boundLoopbackSocket();
/// "IP:port" of a bound socket.
std::string loopbackAddress(int Descriptor);
/// Waits some milliseconds for input.
bool isReadable(int Descriptor);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_LOOPBACKSOCKET_H
