#ifndef PARSLEYRING_EMULATOR_SOCKETOWNER_H
#define PARSLEYRING_EMULATOR_SOCKETOWNER_H

#include <sys/types.h>

#include <vector>

namespace parsleyring {

/// True if one of the processes has the TCP connection over IPv4 from
/// LocalPort to RemotePort, both of this machine. On loopback all processes
/// have the same address, so a proxy tells its clients apart in this way.
bool ownsConnection(const std::vector<pid_t> &Processes, int LocalPort,
                    int RemotePort);

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_SOCKETOWNER_H
