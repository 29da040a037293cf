#ifndef PARSLEYRING_ENDPOINTS_EVENTSTREAMPARSER_H
#define PARSLEYRING_ENDPOINTS_EVENTSTREAMPARSER_H

#include <functional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Splits a stream of server-sent events, which arrives in chunks of any
/// size, into the data of its events. Other fields are ignored.
class EventStreamParser {
public:
  /// Longest line, and longest data of an event.
  static constexpr std::size_t MaxBytes = 64 * 1024;

  enum class Status { Ok, TooLong, Stopped };

  /// OnEvent returns false to stop.
  explicit EventStreamParser(std::function<bool(const std::string &)> OnEvent)
      : m_OnEvent(std::move(OnEvent)) {}

  /// Any status but Ok is final.
  Status feed(std::string_view Chunk);

private:
  Status lineEnded();

  std::function<bool(const std::string &)> m_OnEvent;
  std::string m_Line;
  std::string m_Data;
  bool m_HasData = false;
  bool m_IsAfterReturn = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_EVENTSTREAMPARSER_H
