#ifndef PARSLEYRING_ADMISSION_CONNECTIONLIMIT_H
#define PARSLEYRING_ADMISSION_CONNECTIONLIMIT_H

#include "parsleyring/Types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace parsleyring {

using ConnectionNumber = std::uint64_t;

/// Decides which connection of a caller is closed when there are more than the
/// limit allows: one that serves no request, of the address that holds most
/// connections, and of these the one that has been inactive for longest.
class ConnectionLimit {
public:
  explicit ConnectionLimit(std::size_t MaxConnections);

  /// What a connection does.
  enum class Activity {
    Idle,      ///< Waits for a request.
    Receiving, ///< Has received a part of a request.
    Serving,   ///< A request is in progress, or its answer is being sent.
  };

  /// What a connection does, and since when it has been inactive.
  struct State {
    Activity m_Activity = Activity::Idle;
    Time m_ActiveAt{};
  };

  ConnectionNumber add(const std::string &Address, Time Now);
  void remove(ConnectionNumber Number);
  void setActivity(ConnectionNumber Number, Activity Value, Time Now);

  /// The connection to close so that the limit is kept; empty if it is kept.
  /// Idle connections go first, then those in receipt of a request. If all
  /// others serve requests, it is the newest one. Takes logarithmic time.
  std::optional<ConnectionNumber> excess() const;
  /// The same, but confirms the state of the chosen connection with
  /// CurrentState first. If the recorded state is out of date, it is corrected,
  /// and another connection may be chosen.
  std::optional<ConnectionNumber>
  confirmedExcess(const std::function<State(ConnectionNumber)> &CurrentState);

  std::size_t size() const { return m_Connections.size(); }
  std::size_t limit() const { return m_Limit; }

private:
  /// By the time of their last activity, the longest inactive one first.
  using Order = std::set<std::pair<Time, ConnectionNumber>>;
  /// The greatest is closed first: many connections of the address, then idle
  /// ones, then a long inactivity, then a low number (given as its complement).
  using Rank = std::tuple<std::size_t, bool, Duration, ConnectionNumber>;

  /// The connections of one address.
  struct Group {
    std::size_t m_Count = 0;
    Order m_Idle;
    Order m_Receiving;
    std::optional<Rank> m_Rank; ///< Its entry in m_Ranks.
  };
  struct Entry {
    std::map<std::string, Group>::iterator m_Group;
    State m_State;
  };

  static Order *orderOf(Group &Members, Activity Value);
  /// The rank of the connection of the group that is closed first. Excluded is
  /// passed over. Empty if all others serve requests.
  static std::optional<Rank> rank(const Group &Members,
                                  ConnectionNumber Excluded);
  void updateRank(Group &Members);

  const std::size_t m_Limit;
  ConnectionNumber m_LastNumber = 0;
  std::map<ConnectionNumber, Entry> m_Connections;
  std::map<std::string, Group> m_Groups; ///< By address.
  std::set<Rank> m_Ranks;                ///< Of all groups that have one.
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_CONNECTIONLIMIT_H
