#ifndef PARSLEYRING_AUDIT_HISTORYPRINTER_H
#define PARSLEYRING_AUDIT_HISTORYPRINTER_H

#include "audit/RequestHistory.h"

#include <iosfwd>

namespace parsleyring {

/// Writes a request history as plain sentences, one line for each record.
class HistoryPrinter {
public:
  explicit HistoryPrinter(const RequestHistory &History) : m_History(History) {}

  void write(std::ostream &Output) const;

private:
  void writeHeader(std::ostream &Output) const;
  void writeContext(std::ostream &Output) const;
  void writeRecords(std::ostream &Output) const;
  void writeSameKeyRequests(std::ostream &Output) const;
  void writeMissingRecords(std::ostream &Output) const;

  const RequestHistory &m_History;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_HISTORYPRINTER_H
