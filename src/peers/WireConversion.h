#ifndef PARSLEYRING_PEERS_WIRECONVERSION_H
#define PARSLEYRING_PEERS_WIRECONVERSION_H

#include "membership/Digest.h"
#include "membership/PeerNetwork.h"

namespace parsleyring {

namespace wire {
class Digest;
class KeptAnswer;
} // namespace wire

wire::Digest toWire(const Digest &Value);
Digest fromWire(const wire::Digest &Value);
wire::KeptAnswer toWire(const RemoteAnswer &Value);
RemoteAnswer fromWire(const wire::KeptAnswer &Value);

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_WIRECONVERSION_H
