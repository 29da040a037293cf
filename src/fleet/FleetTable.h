#ifndef PARSLEYRING_FLEET_FLEETTABLE_H
#define PARSLEYRING_FLEET_FLEETTABLE_H

#include "parsleyring/Types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

enum class EndpointState { Ready, Draining };

/// What an endpoint says of itself in the platform's list.
struct EndpointEntry {
  std::string m_Id;
  std::string m_Service;
  std::string m_Address; ///< IP:port
  std::string m_FailureDomain;
  EndpointState m_State = EndpointState::Ready;
  std::uint32_t m_Slots = 0;
  std::string m_CardKind;  ///< Empty for a plain service.
  LayerRange m_Layers;     ///< Empty if it holds none.
  std::int64_t m_Born = 0; ///< Start, milliseconds since the Unix epoch.
};

/// One endpoint, as listed and as this VM has seen it.
struct FleetEndpoint {
  EndpointEntry m_Entry;
  bool m_IsGone = false; ///< No longer listed; requests may still run.
  Time m_MissingSince{}; ///< Not listed since an outage; zero if listed.
  Time m_SuspectUntil{}; ///< Takes no new request before.
  Time m_SilentAt{};     ///< When this VM last got no answer from it.
  bool m_IsOwnSuspicion = false; ///< Found out by this VM, not told by others.
  double m_Pace = 1;             ///< Over 1: slower than its kind.
  Time m_PaceNotedAt{};
  bool m_IsOwnPace = false;
  Time m_ListedAt{};           ///< Of this incarnation.
  std::uint32_t m_Running = 0; ///< Requests of this VM.
  double m_Tokens = 0;         ///< Of this VM's requests, weighted by layers.
  double m_PeerTokens = 0;     ///< Of the requests of other VMs.
  std::uint32_t m_PeerRunning = 0;
  double m_LatencyMs = 0;    ///< Moving mean; 0 if unknown.
  double m_FailureShare = 0; ///< Moving mean, decays with time.
  Time m_FailureNotedAt{};
  int m_RejectionsInARow = 0;

  bool canServe(Time Now) const {
    return !m_IsGone && m_Entry.m_State == EndpointState::Ready &&
           m_SuspectUntil <= Now;
  }
  /// The endpoint has rejected a request that it has not run. It gets no new
  /// one for a time that, in another failure domain, doubles with each
  /// rejection in a row.
  void noteRejection(bool IsInOwnDomain, Time Now);
  void noteAcceptance() { m_RejectionsInARow = 0; }
  void noteResult(bool IsSuccess, Duration Latency, Time Now);
  double failureShare(Time Now) const;
  /// The endpoint's own word on its pace, as told to this VM or to another one.
  void notePace(double Pace, bool IsOwn, Time Now) {
    m_Pace = Pace;
    m_IsOwnPace = IsOwn;
    m_PaceNotedAt = Now;
  }
  /// The pace noted last; 1 if that is long ago.
  double pace(Time Now) const {
    return Now - m_PaceNotedAt < PaceLifetime ? m_Pace : 1;
  }

  /// After the first rejection; about the time in which one request of many
  /// ends.
  static constexpr Duration RejectingTime = std::chrono::milliseconds(150);
  static constexpr int MaxRejectionDoublings = 4;
  /// In the own failure domain only a full endpoint rejects, and no other one
  /// may hold the same layers.
  static constexpr Duration FullTime = std::chrono::milliseconds(60);
  static constexpr Duration PaceLifetime = std::chrono::seconds(4);
  /// No VM of a failure domain asks for the pace again before.
  static constexpr Duration PaceInterval = std::chrono::milliseconds(1500);
  /// An endpoint at this pace is watched until it is itself again.
  static constexpr double SlowPace = 1.3;

  bool isPaceKnown(Time Now) const {
    return Now - m_PaceNotedAt < PaceInterval;
  }
};

/// The endpoints that the platform lists, with what this VM has seen of them.
/// An endpoint that leaves the list stays as an object while requests hold it.
class FleetTable {
public:
  using Handle = std::shared_ptr<FleetEndpoint>;

  /// Adds or replaces an entry. A new incarnation starts with a clean record.
  void list(const EndpointEntry &Entry, Time Now);
  /// The entry has left the list. If the list itself was not available until
  /// lately, the endpoint is kept for ReturnTime, because entries that lapsed
  /// meanwhile come back.
  void unlist(const std::string &Id, Time Now);
  /// The list was not available until now.
  void noteOutageEnd(Time Now) { m_OutageEndedAt = Now; }
  /// Unlists all endpoints whose ids are not in Ids.
  void keepOnly(const std::vector<std::string> &Ids, Time Now);
  /// Ends the wait for entries that did not come back.
  void expire(Time Now);

  Handle find(const std::string &Id) const;
  Handle findByAddress(std::string_view Address) const;
  const std::map<std::string, Handle> &endpoints() const { return m_Endpoints; }
  std::vector<Handle> ofService(std::string_view Service) const;
  /// Changes with every change of the list.
  std::uint64_t generation() const { return m_Generation; }
  /// True if so many endpoints of a failure domain did not answer this VM
  /// lately that the whole of it seems to be cut off.
  bool isDomainSilent(const std::string &Domain, Time Now) const;

  /// Lapsed entries are back within about two seconds of the end of an outage.
  static constexpr Duration ReturnTime = std::chrono::milliseconds(1900);

private:
  void remove(const std::string &Id);

  std::map<std::string, Handle> m_Endpoints;
  Time m_OutageEndedAt{};
  std::uint64_t m_Generation = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_FLEETTABLE_H
