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

bool DecisionLog::takeLine(Time Now) {
  double Seconds = std::chrono::duration<double>(Now - m_FilledAt).count();
  m_FilledAt = Now;
  m_Allowance = std::min(BurstLines, m_Allowance + Seconds * LinesPerSecond);
  if (m_Allowance < 1)
    return false;
  m_Allowance -= 1;
  return true;
}

// Completes a partly written line before the next line is written.
bool DecisionLog::writeOut() {
  std::string &Text = m_Rest.empty() ? m_Text : m_Rest;
  ssize_t Written = ::write(m_Descriptor, Text.data(), Text.size());
  if (Written < 0)
    return false;
  std::string Left = Text.substr(Written);
  bool WasRest = !m_Rest.empty();
  m_Rest = std::move(Left);
  if (!WasRest)
    return true;
  return m_Rest.empty() && writeOut();
}

void DecisionLog::write(Time Now, std::string_view Event,
                        std::string_view Request,
                        std::initializer_list<Field> Fields,
                        std::initializer_list<Field> Further) {
  if (!takeLine(Now)) {
    ++m_DroppedLines;
    return;
  }
  m_Text = "{\"at_us\":";
  m_Text += std::to_string(Now.time_since_epoch().count());
  m_Text += ",\"vm\":";
  appendQuoted(m_Text, m_VM);
  m_Text += ",\"event\":";
  appendQuoted(m_Text, Event);
  if (!Request.empty()) {
    m_Text += ",\"request\":";
    appendQuoted(m_Text, Request);
  }
  for (const Field &Entry : Fields)
    appendField(m_Text, Entry);
  for (const Field &Entry : Further)
    appendField(m_Text, Entry);
  std::uint64_t Unreported = m_DroppedLines - m_ReportedLines;
  if (Unreported > 0)
    m_Text += ",\"lines_left_out\":" + std::to_string(Unreported);
  m_Text += "}\n";
  if (writeOut())
    m_ReportedLines += Unreported;
  else
    ++m_DroppedLines;
}

} // namespace parsleyring
