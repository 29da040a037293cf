#ifndef PARSLEYRING_GATEWAY_STREAMATTEMPT_H
#define PARSLEYRING_GATEWAY_STREAMATTEMPT_H

#include "admission/LinkRoom.h"
#include "gateway/EventScanner.h"
#include "gateway/HttpConnection.h"
#include "gateway/PathLoad.h"

#include <memory>
#include <optional>
#include <string>

namespace parsleyring {

/// One sending of a stream request on a path of engines.
struct StreamAttempt {
  std::shared_ptr<HttpConnection> m_Connection;
  PathLoad m_PathLoad;
  /// Crossings for which the attempt has taken credit.
  std::vector<LinkCrossing> m_LinkCrossings;
  ResponseHead m_Head;
  EventScanner m_Scanner;
  std::string m_RejectionBody; ///< Body of an answer that is not a stream.
  /// Of the bytes received that have not been passed on.
  std::optional<MemoryReservation> m_Memory;
  Time m_SentAt{};
  Time m_LastProgressAt{};
  Time m_FirstEventAt{};
  int m_Events = 0;
  /// Reads since the last event that did not complete another one.
  int m_UnfinishedReads = 0;
  Time m_FirstUnfinishedReadAt{};
  Time m_LastUnfinishedReadAt{};
  int m_Repaths = 0;
  Time m_NextReportAt{}; ///< When a silent engine may be asked again.
  Time m_NextMoveAt{};   ///< When leaving a suspect part is tried again.
  /// Counts towards the maximum of the route.
  bool m_IsCounted = true;
  /// The engine has answered long enough to show that the prompt is harmless.
  bool m_IsAnswered = false;
  bool m_IsStreaming = false; ///< A valid event stream is arriving.
  bool m_IsReportRequested = false;
  bool m_IsRepathing = false;
  bool m_HasEnded = false; ///< The exchange is over.

  const LayerPath &path() const { return m_PathLoad.path(); }
  const FleetTable::Handle &firstEngine() const {
    return path().front().m_Endpoint;
  }
  bool uses(const FleetTable::Handle &Endpoint) const {
    for (const PathStage &Part : path())
      if (Part.m_Endpoint == Endpoint)
        return true;
    return false;
  }
  /// Counts the memory of the bytes received. They have an upper bound, and
  /// they have arrived already, so no limit applies.
  void countMemory(MemoryBudget &Budget, const std::string &Client) {
    if (!m_Memory)
      m_Memory.emplace(Budget, MemoryUse::Answer, Client);
    m_Memory->resize(m_Scanner.capacity() + m_RejectionBody.capacity());
  }
  void noteUnfinishedRead(Time Now) {
    if (Now - m_LastUnfinishedReadAt > MaxTricklingGap)
      m_UnfinishedReads = 0;
    if (++m_UnfinishedReads == 1)
      m_FirstUnfinishedReadAt = Now;
    m_LastUnfinishedReadAt = Now;
  }
  /// True if the engine keeps sending bytes that make up no event. Unlike one
  /// that is silent, it is not sound.
  bool isTrickling() const {
    return m_UnfinishedReads >= MinTricklingReads &&
           m_LastUnfinishedReadAt - m_FirstUnfinishedReadAt >= MinTricklingTime;
  }
  /// Ends the exchange; no handler is called afterwards.
  void close() {
    m_HasEnded = true;
    m_Connection->close();
    m_PathLoad.clear();
  }

  /// An event that arrives in pieces before and after a silence is no trickle.
  static constexpr int MinTricklingReads = 4;
  static constexpr Duration MaxTricklingGap = std::chrono::milliseconds(260);
  /// Callers leave a stream after a pause of two seconds.
  static constexpr Duration MinTricklingTime = std::chrono::milliseconds(1200);
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMATTEMPT_H
