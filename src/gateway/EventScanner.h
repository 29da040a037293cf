#ifndef PARSLEYRING_GATEWAY_EVENTSCANNER_H
#define PARSLEYRING_GATEWAY_EVENTSCANNER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Splits the bytes of an event stream into whole events, without changing
/// them.
class EventScanner {
public:
  struct Event {
    std::string m_Bytes;               ///< With the blank line that ends it.
    std::optional<std::uint64_t> m_Id; ///< Empty if the event has none.
  };

  void add(std::string_view Bytes) { m_Pending.append(Bytes); }
  /// The next whole event; empty if there is none yet.
  std::optional<Event> next();
  /// True if a part of an event has been received.
  bool hasPartialEvent() const { return !m_Pending.empty(); }
  void clear() { m_Pending.clear(); }

private:
  std::string m_Pending;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_EVENTSCANNER_H
