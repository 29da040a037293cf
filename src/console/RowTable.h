#ifndef PARSLEYRING_CONSOLE_ROWTABLE_H
#define PARSLEYRING_CONSOLE_ROWTABLE_H

#include "console/FormField.h"

#include <charconv>
#include <cmath>

namespace parsleyring {

/// An HTML table of inputs with one entity per row. Each row has a position and
/// a checkbox to remove the row; blank rows at the end take new entities.
template <typename Entity> class RowTable {
public:
  RowTable(std::string Prefix, const std::vector<FormField<Entity>> &Fields)
      : m_Prefix(std::move(Prefix)), m_Fields(Fields) {}

  /// Writes the entered rows if there are any, else the rows of Values.
  void write(HtmlWriter &Out, const std::vector<Entity> &Values,
             const FormData &Entered, const FieldFindings &Findings) const {
    std::size_t Rows = enteredRows(Entered);
    if (Rows == 0)
      Rows = Values.size() + BlankRows;
    Out << "<table>\n<tr><th>position</th>";
    for (const FormField<Entity> &Each : m_Fields)
      Out << "<th>" << Each.m_Key << "</th>";
    Out << "<th>remove</th></tr>\n";
    for (std::size_t Row = 0; Row < Rows; ++Row)
      writeRow(Out, Row, Row < Values.size() ? Values[Row] : Entity(), Entered,
               Findings);
    Out << "</table>\n";
  }

  /// Reads the entered rows in the order of their positions; skips removed and
  /// blank rows.
  std::vector<Entity> read(const FormData &Entered,
                           FieldFindings &Findings) const {
    std::multimap<double, Entity> Ordered;
    std::size_t Rows = enteredRows(Entered);
    for (std::size_t Row = 0; Row < Rows; ++Row) {
      if (Entered.has(rowPrefix(Row) + "remove") || isBlank(Entered, Row))
        continue;
      Entity Value;
      readFields(Entered, m_Fields, rowPrefix(Row), Value, Findings);
      Ordered.emplace(position(Entered, Row, Findings), std::move(Value));
    }
    std::vector<Entity> Values;
    for (auto &Each : Ordered)
      Values.push_back(std::move(Each.second));
    return Values;
  }

  /// Name of a field's input in a row.
  std::string inputName(std::size_t Row, const std::string &Key) const {
    return rowPrefix(Row) + Key;
  }

private:
  static constexpr std::size_t BlankRows = 4;

  std::string rowPrefix(std::size_t Row) const {
    return m_Prefix + "." + std::to_string(Row) + ".";
  }

  std::size_t enteredRows(const FormData &Entered) const {
    std::size_t Rows = 0;
    while (Entered.has(rowPrefix(Rows) + "position"))
      ++Rows;
    return Rows;
  }

  bool isBlank(const FormData &Entered, std::size_t Row) const {
    static const Entity Default;
    for (const FormField<Entity> &Each : m_Fields)
      if (Entered.required(rowPrefix(Row) + Each.m_Key) !=
          Each.m_Format(Default))
        return false;
    return true;
  }

  double position(const FormData &Entered, std::size_t Row,
                  FieldFindings &Findings) const {
    const std::string Name = rowPrefix(Row) + "position";
    const std::string &Text = Entered.value(Name);
    const char *End = Text.data() + Text.size();
    double Value = 0;
    auto Result = std::from_chars(Text.data(), End, Value);
    if (Result.ptr == End && Result.ec == std::errc() && std::isfinite(Value))
      return Value;
    Findings[Name] = "must be a number";
    return 0;
  }

  void writeRow(HtmlWriter &Out, std::size_t Row, const Entity &Value,
                const FormData &Entered, const FieldFindings &Findings) const {
    std::string Position = rowPrefix(Row) + "position";
    Out << "<tr><td><input size=\"3\" name=\"" << Position << "\" value=\""
        << (Entered.has(Position) ? Entered.value(Position)
                                  : std::to_string(Row + 1))
        << "\">";
    writeFieldFinding(Out, Findings, Position);
    Out << "</td>";
    for (const FormField<Entity> &Each : m_Fields) {
      std::string Name = rowPrefix(Row) + Each.m_Key;
      Out << "<td>";
      writeInput(Out, Name,
                 Entered.has(Name) ? Entered.value(Name) : Each.m_Format(Value),
                 Each.m_Choices, Each.m_IsMultiline);
      writeFieldFinding(Out, Findings, Name);
      Out << "</td>";
    }
    std::string Remove = rowPrefix(Row) + "remove";
    Out << "<td><input type=\"checkbox\" name=\"" << Remove << "\"";
    if (Entered.has(Remove))
      Out << " checked";
    Out << "></td></tr>\n";
  }

  const std::string m_Prefix;
  const std::vector<FormField<Entity>> &m_Fields;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ROWTABLE_H
