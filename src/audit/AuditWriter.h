#ifndef PARSLEYRING_AUDIT_AUDITWRITER_H
#define PARSLEYRING_AUDIT_AUDITWRITER_H

#include "parsleyring/Actions.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace parsleyring {

/// One audit record as a line of JSON without the line end.
std::string auditLine(const Incarnation &Self, std::uint64_t Sequence,
                      const WriteAudit &Record);

/// Writes audit records as lines to a file descriptor, in order and with
/// sequence numbers without gaps. write() does not block; a thread does.
class AuditWriter {
public:
  AuditWriter(const Incarnation &Self, int Descriptor);
  ~AuditWriter();

  void write(const WriteAudit &Record);
  /// True while so much is unwritten that no further work should be taken on:
  /// a decision that cannot be recorded must not be made.
  bool isCongested() const { return m_QueuedBytes > CongestedBytes; }
  /// Lines that could not be written because the descriptor failed.
  std::uint64_t lostLines() const { return m_LostLines; }

  /// Waits until all is written, or until the descriptor took nothing for
  /// Limit; then ends the thread.
  void close(Duration Limit);

private:
  static constexpr std::size_t CongestedBytes = 16 << 20;

  void run();
  void writeAll(const std::string &Text);

  const Incarnation m_Self;
  const int m_Descriptor;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<std::string> m_Lines;
  std::uint64_t m_LastSequence = 0;
  bool m_IsClosing = false;
  std::atomic<std::size_t> m_QueuedBytes{0};
  std::atomic<std::uint64_t> m_LostLines{0};
  std::atomic<bool> m_IsAbandoned{false};
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_AUDITWRITER_H
