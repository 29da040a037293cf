#ifndef PARSLEYRING_GATEWAY_DECISIONLOG_H
#define PARSLEYRING_GATEWAY_DECISIONLOG_H

#include "parsleyring/Types.h"

#include <initializer_list>
#include <string>
#include <variant>

namespace parsleyring {

/// Writes one JSON object per line for each decision, without ever blocking.
/// Lines beyond a rate, or that the output does not take at once, are left out
/// and counted; the count is logged with the next line that is written.
class DecisionLog {
public:
  using Value = std::variant<std::string_view, std::int64_t, double>;
  struct Field {
    std::string_view m_Name;
    Value m_Value;
  };

  DecisionLog(int Descriptor, std::string VM);

  /// Request is empty if the line is not about one request.
  void write(Time Now, std::string_view Event, std::string_view Request,
             std::initializer_list<Field> Fields,
             std::initializer_list<Field> Further = {});
  /// Lines left out so far.
  std::uint64_t droppedLines() const { return m_DroppedLines; }

  /// Bounds the processor time that logging takes under load.
  static constexpr double LinesPerSecond = 100;
  static constexpr double BurstLines = 200;

private:
  bool takeLine(Time Now);
  bool writeOut();

  const int m_Descriptor;
  const std::string m_VM;
  std::string m_Text; ///< The line in progress; reused.
  std::string m_Rest; ///< The end of a line that was written in part.
  double m_Allowance = BurstLines;
  Time m_FilledAt{};
  std::uint64_t m_DroppedLines = 0;
  std::uint64_t m_ReportedLines = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_DECISIONLOG_H
