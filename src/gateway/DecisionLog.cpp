#include "gateway/DecisionLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

namespace parsleyring {

DecisionLog::DecisionLog(int Descriptor, std::string VM)
    : m_Descriptor(Descriptor), m_VM(std::move(VM)) {
  int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

static void appendQuoted(std::string &Text, std::string_view Value) {
  Text += '"';
  for (char Character : Value) {
    auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Text += '\\';
      Text += Character;
    } else if (Code < 0x20 || Code >= 0x7f) {
      char Escape[8];
      std::snprintf(Escape, sizeof(Escape), "\\u%04x", Code);
      Text += Escape;
    } else {
      Text += Character;
    }
  }
  Text += '"';
}

static void appendValue(std::string &Text, const DecisionLog::Value &Value) {
  if (const auto *String = std::get_if<std::string_view>(&Value)) {
    appendQuoted(Text, *String);
  } else if (const auto *Integer = std::get_if<std::int64_t>(&Value)) {
    Text += std::to_string(*Integer);
  } else {
    char Number[32];
    std::snprintf(Number, sizeof(Number), "%.3f", std::get<double>(Value));
    Text += Number;
  }
}

static void appendField(std::string &Text, const DecisionLog::Field &Field) {
  Text += ',';
  appendQuoted(Text, Field.m_Name);
  Text += ':';
  appendValue(Text, Field.m_Value);
}

bool DecisionLog::consumeAllowance(Time Now) {
  double Seconds = std::chrono::duration<double>(Now - m_RefilledAt).count();
  m_RefilledAt = Now;
  m_LineAllowance =
      std::min(BurstLines, m_LineAllowance + Seconds * LinesPerSecond);
  if (m_LineAllowance < 1)
    return false;
  m_LineAllowance -= 1;
  return true;
}

// Completes a partly written line before the next line is written.
bool DecisionLog::flushLine() {
  std::string &Text = m_PartialLine.empty() ? m_Line : m_PartialLine;
  ssize_t Written = ::write(m_Descriptor, Text.data(), Text.size());
  if (Written < 0)
    return false;
  std::string Unwritten = Text.substr(Written);
  bool WasPartial = !m_PartialLine.empty();
  m_PartialLine = std::move(Unwritten);
  if (!WasPartial)
    return true;
  return m_PartialLine.empty() && flushLine();
}

void DecisionLog::write(Time Now, std::string_view Event,
                        std::string_view Request,
                        std::initializer_list<Field> Fields,
                        std::initializer_list<Field> MoreFields) {
  if (!consumeAllowance(Now)) {
    ++m_DroppedLines;
    return;
  }
  m_Line = "{\"at_us\":";
  m_Line += std::to_string(Now.time_since_epoch().count());
  m_Line += ",\"vm\":";
  appendQuoted(m_Line, m_VM);
  m_Line += ",\"event\":";
  appendQuoted(m_Line, Event);
  if (!Request.empty()) {
    m_Line += ",\"request\":";
    appendQuoted(m_Line, Request);
  }
  for (const Field &Entry : Fields)
    appendField(m_Line, Entry);
  for (const Field &Entry : MoreFields)
    appendField(m_Line, Entry);
  std::uint64_t Unreported = m_DroppedLines - m_ReportedDroppedLines;
  if (Unreported > 0)
    m_Line += ",\"lines_left_out\":" + std::to_string(Unreported);
  m_Line += "}\n";
  if (flushLine())
    m_ReportedDroppedLines += Unreported;
  else
    ++m_DroppedLines;
}

} // namespace parsleyring
