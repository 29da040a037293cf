#ifndef PARSLEYRING_GATEWAY_ENGINEWATCHPOLICY_H
#define PARSLEYRING_GATEWAY_ENGINEWATCHPOLICY_H

#include "fleet/FleetTable.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// Decides to which engines EngineWatch keeps an idle connection, when it
/// connects, and what the end of a connection proves.
///
/// An engine has crashed if its connection, which had been open for
/// MinOpenTime, is closed and MinRefusals new ones are refused in succession:
/// its host answers, but no process listens there. Nothing else is a crash:
/// silence may be that of a slow engine or of the network, and an engine that
/// accepts a connection runs, even if it closes it again at once.
///
/// A suspicion that another VM tells is checked in the same way, since that VM
/// may itself be cut off. The connection of such a check is not kept.
class EngineWatchPolicy {
public:
  using Engines = std::vector<FleetTable::Handle>;

  /// Watches those of the endpoints of layered services that are in Domain,
  /// have layers and do not leave; none if IsOn is false. Returns those that
  /// are no longer watched, whose connections are to be closed.
  Engines update(const Engines &Endpoints, const std::string &Domain, bool IsOn,
                 Time Now);

  /// Checks an engine that another VM suspects, whether this VM watches or not.
  /// Endpoints without layers are left out: they run no parts of streams.
  /// One that is watched is judged by its own connection.
  void check(const FleetTable::Handle &Engine, Time Now);

  /// The engines to connect to now. MayOpen is false while connections are
  /// short: then only crashes are checked.
  Engines takeDue(Time Now, bool MayOpen);
  /// When takeDue() returns further engines; Time::max() if none is waiting.
  Time nextDueAt(Time Now, bool MayOpen) const;

  // Results of connecting. noteAccepted() returns false if the connection is to
  // be closed, noteRefused() true if the engine is now known to have crashed.
  bool noteAccepted(const FleetEndpoint &Engine, Time Now);
  bool noteRefused(const FleetEndpoint &Engine, Time Now);
  /// There was no answer in time, or any other error.
  void noteUnanswered(const FleetEndpoint &Engine, Time Now);

  /// The engine has closed or reset the open connection.
  void noteClosed(const FleetEndpoint &Engine, Time Now);
  /// This VM has closed the open connection.
  void noteGivenUp(const FleetEndpoint &Engine, Time Now);

  /// Number of open connections.
  std::size_t size() const;

  /// A process that ends may close its connections before it stops listening.
  static constexpr Duration ProbeDelay = std::chrono::milliseconds(10);
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(20);
  static constexpr int MinRefusals = 2;
  /// Times between two connections to an engine, apart from the second one of a
  /// check; doubled for each one that fails or is closed early.
  static constexpr Duration MinReconnectInterval =
      std::chrono::milliseconds(500);
  static constexpr Duration MaxReconnectInterval = std::chrono::seconds(8);
  /// An engine at its limit of connections accepts and closes at once. With
  /// this as the minimum, checks do not connect more often than reconnects.
  static constexpr Duration MinOpenTime = MinReconnectInterval;
  /// Of this VM, to all engines.
  static constexpr double ConnectsPerSecond = 20;
  static constexpr double MaxConnectBurst = 20;
  /// Connections of a burst that only checks use, so that crashes are seen also
  /// while many engines are connected to for the first time.
  static constexpr double ConnectsForChecks = 10;

private:
  enum class State { Waiting, Connecting, Open };
  struct WatchedEngine {
    FleetTable::Handle m_Engine;
    State m_State = State::Waiting;
    Time m_DueAt{};       ///< Of the next connection, while Waiting.
    Time m_ConnectedAt{}; ///< Last attempt; once Open, when it was accepted.
    Duration m_Interval = MinReconnectInterval;
    bool m_IsChecking = false; ///< The open connection was closed.
    int m_Refusals = 0;        ///< Of the check.
    bool m_IsWatched = true;   ///< False for check().
  };

  WatchedEngine *find(const FleetEndpoint &Engine);
  void waitForReconnect(WatchedEngine &Watched, Time Now);
  double connects(Time Now) const;
  /// When Count connections are available.
  Time connectsAt(double Count, Time Now) const;

  std::map<const FleetEndpoint *, WatchedEngine> m_Watched;
  /// Connections that may be opened at once, at m_ConnectsNotedAt.
  double m_Connects = MaxConnectBurst;
  Time m_ConnectsNotedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENGINEWATCHPOLICY_H
