#ifndef PARSLEYRING_PEERS_PEERCONNECTION_H
#define PARSLEYRING_PEERS_PEERCONNECTION_H

#include "claims/ReservationTable.h"
#include "membership/Digest.h"
#include "membership/PeerNetwork.h"

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace parsleyring {

/// Thrown if a call to a peer fails or times out.
class PeerError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A connection to a peer's Thrift server, for use by one thread. Every call
/// has a timeout. After an error the next call opens a new connection, since a
/// connection that stopped answering never recovers. All calls throw PeerError.
class PeerConnection {
public:
  /// CountBytes gets the size of each message; may be empty.
  explicit PeerConnection(const std::string &Address,
                          std::function<void(std::uint64_t)> CountBytes = {});
  ~PeerConnection();

  void heartbeat(const Digest &Value);
  std::string fetchHead();
  std::string fetchChunk(const std::string &Sha256);
  RemoteAnswer requestState(const OwnedId &Request, std::uint32_t FromPosition);
  RemoteAnswer keyState(const Incarnation &Owner, const std::string &Account,
                        const std::string &Key);
  ReservationTable::TakeResult takeReservation(const OwnedId &Key,
                                               const RequestClaim &Request,
                                               const std::string &Holder);
  void endReservation(const OwnedId &Key, const std::string &Text,
                      ClaimFinalState End);

private:
  class Client;

  template <typename Call> void run(Call &&MakeCall);

  std::string m_Address;
  std::function<void(std::uint64_t)> m_CountBytes;
  std::unique_ptr<Client> m_Client;
};

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_PEERCONNECTION_H
