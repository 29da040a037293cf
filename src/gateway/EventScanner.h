#ifndef PARSLEYRING_GATEWAY_EVENTSCANNER_H
#define PARSLEYRING_GATEWAY_EVENTSCANNER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Splits a stream of server-sent events into complete events, byte for byte.
class EventScanner {
public:
  struct Event {
    std::string m_Bytes;               ///< Including the blank line at the end.
    std::optional<std::uint64_t> m_Id; ///< Empty if there is no numeric id.
  };

  void add(std::string_view Bytes);
  /// The next complete event; empty if none has been received.
  std::optional<Event> next();
  /// Number of received bytes that are not a complete event yet.
  std::size_t pendingBytes() const { return m_Pending.size(); }
  /// Memory that the received bytes take.
  std::size_t capacity() const { return m_Pending.capacity(); }
  /// True if the received bytes end inside an event.
  bool hasPartialEvent() const { return !m_Pending.empty(); }
  void clear();

private:
  std::string m_Pending;
  std::size_t m_Searched = 0; ///< Bytes before contain no end of an event.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_EVENTSCANNER_H
