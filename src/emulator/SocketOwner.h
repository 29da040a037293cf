#ifndef PARSLEYRING_EMULATOR_SOCKETOWNER_H
#define PARSLEYRING_EMULATOR_SOCKETOWNER_H

#include <sys/types.h>

#include <vector>

namespace parsleyring {

/// Whether one of the processes owns the IPv4 loopback connection from
/// LocalPort to RemotePort. A proxy uses it to identify its clients, since all
/// processes on loopback have the same address.
bool ownsConnection(const std::vector<pid_t> &Processes, int LocalPort,
                    int RemotePort);

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_SOCKETOWNER_H
