#ifndef PARSLEYRING_FLEET_FLEETTABLE_H
#define PARSLEYRING_FLEET_FLEETTABLE_H

#include "fleet/EndpointLimit.h"
#include "fleet/EndpointRest.h"
#include "fleet/LimitShare.h"
#include "parsleyring/Types.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

enum class EndpointState { Ready, Draining };

/// An endpoint's own entry in the platform's list.
struct EndpointEntry {
  std::string m_Id;
  std::string m_Service;
  std::string m_Address; ///< IP:port
  std::string m_FailureDomain;
  EndpointState m_State = EndpointState::Ready;
  std::uint32_t m_Slots = 0;
  std::string m_CardKind; ///< Empty for a plain service.
  LayerRange m_Layers;    ///< Empty if the endpoint holds none.
  std::int64_t m_StartTimeMs =
      0; ///< Start time, milliseconds since the Unix epoch.
};

/// An endpoint from one of its starts to the next.
struct EndpointIncarnation {
  std::string m_Id;
  std::int64_t m_StartTimeMs = 0;
};

/// Whether this VM sends requests to an endpoint and, if not, why.
enum class EndpointAvailability {
  Available,
  Removed, ///< Not in the list any more.
  Leaving,
  Resting, ///< Has asked this VM for no requests.
  Suspect, ///< Did not answer, or rejected a request.
};
std::string_view name(EndpointAvailability Value);

/// A listed endpoint with this VM's observations of it.
struct FleetEndpoint {
  EndpointEntry m_Entry;
  bool m_IsRemoved = false; ///< Not in the table; requests may still run.
  /// It said in an answer to this VM or another one that it is leaving.
  bool m_HasStatedLeaving = false;
  /// End of the list outage after which the endpoint was missing from the list;
  /// OutageGracePeriod counts from then. Zero while the endpoint is listed.
  Time m_OutageGraceStartedAt{};
  Time m_SuspectUntil{};    ///< Gets no new requests until then.
  Time m_SilentAt{};        ///< Last time that this VM got no answer.
  Time m_OwnSuspectUntil{}; ///< As far as this VM itself suspects it.
  double m_Pace = 1;        ///< Relative step time; over 1 is slow.
  Time m_PaceNotedAt{};
  Time m_PaceQueriedAt{}; ///< Last query of this VM.
  bool m_IsOwnPace = false;
  Time m_ListedAt{};           ///< When this incarnation was first listed.
  std::uint32_t m_Running = 0; ///< Requests of this VM.
  /// Of these, the ones whose path begins here: only they take up its slots.
  std::uint32_t m_RunningAsFirst = 0;
  double m_Tokens = 0;     ///< Tokens times layers, this VM's requests.
  double m_PeerTokens = 0; ///< Tokens times layers, other VMs' requests.
  std::uint32_t m_PeerRunning = 0;
  std::uint32_t m_PeerRunningAsFirst = 0;
  double m_LatencyMs = 0; ///< Moving average at m_LatencyNotedAt; 0 if unknown.
  Time m_LatencyNotedAt{};
  double m_FailureRate = 0; ///< Moving average at m_FailureRateUpdatedAt.
  Time m_FailureRateUpdatedAt{};
  EndpointLimit m_Limit;
  LimitShare m_LimitShare;
  EndpointRest m_Rest; ///< Holds for this VM alone.
  /// Requests per second that other VMs would send if there were no limit; only
  /// reported while there is one.
  double m_PeerDemand = 0;
  int m_ConsecutiveRejections = 0;
  Time m_RejectingSince{}; ///< First of the consecutive rejections.

  /// Ends its requests and takes no new ones, by its entry or its answers.
  bool isLeaving() const {
    return m_HasStatedLeaving || m_Entry.m_State == EndpointState::Draining;
  }
  /// The first of several reasons is the one that lasts longest.
  EndpointAvailability availability(Time Now) const;
  bool canServe(Time Now) const {
    return availability(Now) == EndpointAvailability::Available;
  }
  /// When the endpoint is available again, unless it is removed or leaves.
  Time availableAt() const { return std::max(m_Rest.until(), m_SuspectUntil); }
  /// True if the limit of the endpoint, if any, allows this VM to send a
  /// request now. Users needs only the load factor and the number of VMs.
  bool isWithinLimit(LimitUsers Users, double Random, Time Now);
  /// Records that the endpoint rejected a request without running it. The
  /// endpoint gets no new requests for a time, which doubles with each
  /// consecutive rejection if the endpoint is in another failure domain, and is
  /// longer after MaxFullTime if it is in this one.
  void noteRejection(bool IsInOwnDomain, Time Now);
  /// Records that the endpoint has answered this VM, which ends this VM's own
  /// suspicion: it was only silent.
  void noteAlive(Time Now) {
    if (m_OwnSuspectUntil <= Now)
      return;
    m_OwnSuspectUntil = Now;
    m_SuspectUntil = Now;
  }
  void noteAcceptance() {
    m_ConsecutiveRejections = 0;
    m_RejectingSince = Time{};
  }
  void noteResult(bool IsSuccess, Duration Latency, Time Now);
  double failureRate(Time Now) const;
  /// The latency to expect of a request that is sent now; 0 if unknown. An
  /// average without new results moves towards LowestMs, the lowest one of the
  /// service, since only requests can show that an endpoint is fast again.
  double expectedLatencyMs(double LowestMs, Time Now) const;
  /// Records the pace that the endpoint reported to this VM (IsOwn) or to
  /// another VM.
  void notePace(double Pace, bool IsOwn, Time Now) {
    m_Pace = Pace;
    m_IsOwnPace = IsOwn;
    m_PaceNotedAt = Now;
  }
  /// The last recorded pace; 1 if it is outdated.
  double pace(Time Now) const {
    return Now - m_PaceNotedAt < PaceLifetime ? m_Pace : 1;
  }

  /// Pause after the first rejection; about the time until one of many running
  /// requests ends.
  static constexpr Duration RejectionPause = std::chrono::milliseconds(150);
  static constexpr int MaxRejectionDoublings = 4;
  /// Pause after a rejection in this VM's failure domain. There only a full
  /// endpoint rejects, and possibly no other endpoint holds the same layers.
  static constexpr Duration FullEndpointPause = std::chrono::milliseconds(60);
  /// An endpoint that rejects all requests for this long is not just full, as
  /// one of its requests would have ended: it is leaving, and its entry does
  /// not tell while the platform's list is not available.
  static constexpr Duration MaxFullTime = std::chrono::milliseconds(1500);
  static constexpr Duration LeavingEndpointPause =
      std::chrono::milliseconds(1000);
  static constexpr Duration PaceLifetime = std::chrono::seconds(4);
  /// Minimum time between two queries for the pace by the VMs of a failure
  /// domain.
  static constexpr Duration PaceQueryInterval = std::chrono::milliseconds(1500);
  /// An endpoint with at least this pace is slow; its pace is queried until the
  /// endpoint has recovered.
  static constexpr double SlowPace = 1.3;

  bool isPaceRecent(Time Now) const {
    return Now - m_PaceNotedAt < PaceQueryInterval;
  }
  /// True if the pace is not known and was not queried recently either.
  bool isPaceQueryDue(Time Now) const {
    return !isPaceRecent(Now) && Now - m_PaceQueriedAt >= PaceQueryInterval;
  }

private:
  /// Weight that the average latency still has, at most 1.
  double latencyWeight(Time Now) const;
};

/// The endpoints that the platform lists, with this VM's observations of them.
/// The object of an endpoint that left the list exists while requests hold a
/// handle to it.
class FleetTable {
public:
  using Handle = std::shared_ptr<FleetEndpoint>;

  /// Adds or replaces an entry. A new incarnation starts without the
  /// observations of the old one.
  void list(const EndpointEntry &Entry, Time Now);
  /// Handles an entry that has left the list. If the list itself was
  /// unavailable until recently, a ready endpoint is kept for
  /// OutageGracePeriod, because entries that expired during the outage return.
  void unlist(const std::string &Id, Time Now);
  /// Until endRestoration(), entries are listed from a copy that may be older
  /// than what is known. An incarnation that was leaving is not used again; one
  /// that had left only if its entry is still there after
  /// RestorationGracePeriod.
  void beginRestoration() { m_IsRestoring = true; }
  void endRestoration() { m_IsRestoring = false; }
  /// The incarnations that are leaving, or left within the last minutes and
  /// have not returned.
  std::vector<EndpointIncarnation> leavingIncarnations() const;
  /// Applies what another VM knows of incarnations that are leaving or have
  /// left. One that is listed as ready, from a copy that is older than that, is
  /// not used unless its entry changes, or is still there after
  /// RestorationGracePeriod.
  void applyLeaving(const std::vector<EndpointIncarnation> &Leaving, Time Now);
  /// Records that an incarnation stated in an answer that it is leaving, to
  /// this VM (IsOwn) or to another one. Nothing that is listed later undoes it.
  /// Returns true if this VM did not know that it is leaving.
  bool noteLeaving(const EndpointIncarnation &Endpoint, bool IsOwn, Time Now);
  /// The incarnations that stated that they are leaving, until some minutes
  /// after they have left the list.
  std::vector<EndpointIncarnation> statedLeaving() const;
  /// Of these, at most MaxCount that are listed, the newest statement first;
  /// with IsOwnOnly, those that stated it to this VM.
  std::vector<EndpointIncarnation> listedLeaving(bool IsOwnOnly,
                                                 std::size_t MaxCount) const;
  /// Records that an outage of the list ended at Now.
  void noteOutageEnd(Time Now) { m_OutageEndedAt = Now; }
  /// Unlists all endpoints whose ids are not in Ids.
  void unlistAllExcept(const std::vector<std::string> &Ids, Time Now);
  /// Removes the endpoints whose entries did not return within
  /// OutageGracePeriod, and lists those that stayed for RestorationGracePeriod.
  void expire(Time Now);

  Handle find(const std::string &Id) const;
  Handle findByAddress(std::string_view Address) const;
  const std::map<std::string, Handle> &endpoints() const { return m_Endpoints; }
  std::vector<Handle> endpointsOfService(std::string_view Service) const;
  /// The endpoints whose rests have ended since the last call.
  std::vector<Handle> takeEndedRests(Time Now);
  std::size_t restingEndpoints(Time Now) const;
  /// Number of endpoints that state a limit.
  std::size_t limitedEndpoints() const;
  /// Number of endpoints that are leaving.
  std::size_t leavingEndpoints() const;
  /// Incremented with each change of the list.
  std::uint64_t generation() const { return m_Generation; }
  /// True if so many endpoints of the failure domain recently did not answer
  /// this VM that the whole domain seems to be cut off.
  bool isDomainSilent(const std::string &Domain, Time Now) const;

  /// Expired entries return within about two seconds of the end of an outage.
  static constexpr Duration OutageGracePeriod = std::chrono::milliseconds(1900);

  /// Entries of endpoints that have ended are removed within about this time.
  static constexpr Duration RestorationGracePeriod = std::chrono::seconds(5);

private:
  /// An endpoint that has left the list.
  struct LeftEndpoint {
    std::int64_t m_StartTimeMs = 0;
    Time m_At{};
    EndpointRest m_Rest; ///< Goes on if the same incarnation returns.
  };
  /// The newest incarnation of an endpoint that stated that it is leaving.
  struct StatedLeaving {
    std::int64_t m_StartTimeMs = 0;
    bool m_IsOwn = false; ///< It stated it to this VM.
    Time m_At{};          ///< When this VM knew it, or when it left the list.

    /// Incarnations that started earlier have ended: one can only be listed
    /// from an outdated copy.
    bool covers(std::int64_t StartTimeMs) const {
      return StartTimeMs <= m_StartTimeMs;
    }
  };
  /// An entry of a copy that is not listed before m_DueAt.
  struct DeferredEntry {
    EndpointEntry m_Entry;
    Time m_DueAt{};
  };

  void remove(const std::string &Id, Time Now);
  bool hasStatedLeaving(const EndpointEntry &Entry) const;
  /// Returns true if an entry of a copy must not be listed now.
  bool deferOutdated(const EndpointEntry &Entry, Time Now);

  std::map<std::string, Handle> m_Endpoints;
  std::map<std::string, LeftEndpoint> m_Left;
  std::map<std::string, StatedLeaving> m_StatedLeaving;
  std::map<std::string, DeferredEntry> m_Deferred;
  bool m_IsRestoring = false;
  Time m_OutageEndedAt{};
  std::uint64_t m_Generation = 0;
};

/// When the first of Endpoints becomes available, if that is one that rests.
/// Empty if another one is available earlier, or none ever.
std::optional<Time>
firstRestEnd(const std::vector<FleetTable::Handle> &Endpoints, Time Now);

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_FLEETTABLE_H
