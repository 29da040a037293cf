#ifndef PARSLEYRING_GATEWAY_DECISIONLOG_H
#define PARSLEYRING_GATEWAY_DECISIONLOG_H

#include "parsleyring/Types.h"

#include <initializer_list>
#include <string>
#include <variant>

namespace parsleyring {

/// Writes one JSON object per line for each decision, and never blocks. Lines
/// over the rate limit, or that the output does not accept at once, are dropped
/// and counted; the next line that is written reports the count.
class DecisionLog {
public:
  using Value = std::variant<std::string_view, std::int64_t, double>;
  struct Field {
    std::string_view m_Name;
    Value m_Value;
  };

  DecisionLog(int Descriptor, std::string VM);

  /// Request is empty if the line does not concern a single request.
  void write(Time Now, std::string_view Event, std::string_view Request,
             std::initializer_list<Field> Fields,
             std::initializer_list<Field> MoreFields = {});
  /// Lines dropped so far.
  std::uint64_t droppedLines() const { return m_DroppedLines; }

  /// Limits the processor time that logging takes under load.
  static constexpr double LinesPerSecond = 100;
  static constexpr double BurstLines = 200;

private:
  bool consumeAllowance(Time Now);
  bool flushLine();

  const int m_Descriptor;
  const std::string m_VM;
  std::string m_Line;        ///< The line being built; reused.
  std::string m_PartialLine; ///< Unwritten end of a partly written line.
  double m_LineAllowance = BurstLines;
  Time m_RefilledAt{};
  std::uint64_t m_DroppedLines = 0;
  std::uint64_t m_ReportedDroppedLines = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_DECISIONLOG_H
