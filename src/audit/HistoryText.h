#ifndef PARSLEYRING_AUDIT_HISTORYTEXT_H
#define PARSLEYRING_AUDIT_HISTORYTEXT_H

#include "audit/RequestHistory.h"

#include <iosfwd>

namespace parsleyring {

/// Writes a request history as plain sentences, one line for each record.
class HistoryText {
public:
  explicit HistoryText(const RequestHistory &History) : m_History(History) {}

  void write(std::ostream &Output) const;

private:
  void writeHeader(std::ostream &Output) const;
  void writeConditions(std::ostream &Output) const;
  void writeRecords(std::ostream &Output) const;
  void writeSameKey(std::ostream &Output) const;
  void writeCompleteness(std::ostream &Output) const;

  const RequestHistory &m_History;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_HISTORYTEXT_H
