#ifndef PARSLEYRING_ENDPOINTS_EVENTSTREAMPARSER_H
#define PARSLEYRING_ENDPOINTS_EVENTSTREAMPARSER_H

#include <functional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Incremental parser for server-sent events: passes the "data" of each event
/// to a callback and ignores other fields. Accepts chunks of any size.
class EventStreamParser {
public:
  /// Limit for one line and for the data of one event.
  static constexpr std::size_t MaxBytes = 64 * 1024;

  enum class Status { Ok, TooLong, Stopped };

  /// OnEvent gets the data of an event and returns false to stop the parser.
  explicit EventStreamParser(std::function<bool(const std::string &)> OnEvent)
      : m_OnEvent(std::move(OnEvent)) {}

  /// After a status other than Ok the parser must not be used any more.
  Status feed(std::string_view Chunk);

private:
  Status processLine();

  std::function<bool(const std::string &)> m_OnEvent;
  std::string m_Line;
  std::string m_Data;
  bool m_HasData = false;
  bool m_IsAfterCarriageReturn = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_EVENTSTREAMPARSER_H
