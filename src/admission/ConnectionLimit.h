#ifndef PARSLEYRING_ADMISSION_CONNECTIONLIMIT_H
#define PARSLEYRING_ADMISSION_CONNECTIONLIMIT_H

#include "parsleyring/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

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

  ConnectionNumber add(const std::string &Address, Time Now);
  void remove(ConnectionNumber Number);
  void setActivity(ConnectionNumber Number, Activity Value, Time Now);

  /// The connection to close so that the limit is kept; empty if it is kept.
  /// Idle connections go first, then those in receipt of a request. If all
  /// others serve requests, it is the newest one.
  std::optional<ConnectionNumber> excess() const;

  std::size_t size() const { return m_Connections.size(); }
  std::size_t limit() const { return m_Limit; }

private:
  struct Entry {
    std::string m_Address;
    Activity m_Activity = Activity::Idle;
    Time m_ActiveAt{};
  };

  const std::size_t m_Limit;
  ConnectionNumber m_LastNumber = 0;
  std::map<ConnectionNumber, Entry> m_Connections;
  std::map<std::string, std::size_t> m_CountByAddress;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_CONNECTIONLIMIT_H
