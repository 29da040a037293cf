#ifndef PARSLEYRING_STORE_VMLEASE_H
#define PARSLEYRING_STORE_VMLEASE_H

#include "store/StoreClient.h"

#include <map>

namespace parsleyring {

/// Another VM of the system, as listed in the store.
struct ListedVM {
  std::string m_Name;
  std::string m_PeerAddress; ///< IP:port
  std::string m_FailureDomain;
};

/// Lists this VM in the store under a lease, and holds the placement duty if
/// no other VM does. The duty ends for this VM before its lease can end in the
/// store, so that two VMs never hold it.
class VMLease {
public:
  VMLease(boost::asio::io_context &Loop, StoreClient &Client,
          const StoreProtocol &Protocol, std::function<Time()> Now,
          std::string StoreAddress, ListedVM Self);

  void start() { step(); }
  /// Gives the duty and the listing up.
  void stop();
  /// The duty's key as it stands in the store; revision 0 if there is none.
  void noteDuty(const std::string &Holder, std::uint64_t Revision);
  bool holdsDuty(Time Now) const;
  /// Grows with each change of the holder.
  std::uint64_t fencingToken() const { return m_DutyRevision; }

  static const std::string VMPrefix;
  static const std::string DutyKey;
  static std::string entryText(const ListedVM &VM);
  static std::optional<ListedVM> parseEntry(const std::string &Text);

private:
  void step();
  void stepLater(Duration Delay);
  void grant();
  void renew();
  void putEntry();
  void claimDuty();

  StoreClient &m_Client;
  const StoreProtocol &m_Protocol;
  std::function<Time()> m_Now;
  const std::string m_StoreAddress;
  const ListedVM m_Self;
  std::string m_Incarnation; ///< Value of the duty's key for this process.
  boost::asio::steady_timer m_Timer;
  std::uint64_t m_Lease = 0;
  Time m_ConfirmedAt{}; ///< When the last confirmed renewal was sent.
  bool m_IsListed = false;
  bool m_IsStopped = false;
  bool m_IsDutyKnown = false;
  std::string m_DutyHolder;
  std::uint64_t m_DutyRevision = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_VMLEASE_H
