#ifndef PARSLEYRING_NODE_ISOLATEDPEERNETWORK_H
#define PARSLEYRING_NODE_ISOLATEDPEERNETWORK_H

#include "membership/PeerNetwork.h"

namespace parsleyring {

/// PeerNetwork without peers, for a node that runs alone.
class IsolatedPeerNetwork final : public PeerNetwork {
public:
  void start() override {}
  void stop() override {}
  void announceLeaving(const std::string &, const std::string &) override {}
  void noteLoad(const LoadReported &) override {}
  bool isPoller(const std::string &, const std::string &) const override {
    return true;
  }
  void startDraining() override {}
  std::optional<RemoteAnswer> requestState(const OwnedId &,
                                           std::uint32_t) override {
    return std::nullopt;
  }
  std::optional<RemoteAnswer> keyState(const Incarnation &, const std::string &,
                                       const std::string &) override {
    return std::nullopt;
  }
  std::optional<ReservationTable::TakeResult>
  takeReservation(const OwnedId &, const RequestClaim &) override {
    return std::nullopt;
  }
  void endReservation(const OwnedId &, const std::string &,
                      ClaimFinalState) override {}
  std::optional<std::string> fetchHead(const std::string &) override {
    return std::nullopt;
  }
  std::optional<std::string> fetchChunk(const std::string &,
                                        const std::string &) override {
    return std::nullopt;
  }
  std::vector<std::string> livePeers() const override { return {}; }
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_ISOLATEDPEERNETWORK_H
