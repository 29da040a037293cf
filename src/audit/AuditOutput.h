#ifndef PARSLEYRING_AUDIT_AUDITOUTPUT_H
#define PARSLEYRING_AUDIT_AUDITOUTPUT_H

#include "parsleyring/Types.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <thread>

namespace parsleyring {

/// Stream for audit lines that never blocks the caller: a background thread
/// writes the lines to a file descriptor. The stream is not thread-safe.
class AuditOutput final : private std::streambuf {
public:
  explicit AuditOutput(int Descriptor);
  ~AuditOutput() override;

  std::ostream &stream() { return m_Stream; }

  /// True while more than 16 MiB are unwritten. Callers then accept no new
  /// work: a decision that cannot be recorded must not be made.
  bool isCongested() const { return m_QueuedBytes > CongestedBytes; }
  /// Number of lines that could not be written.
  std::uint64_t lostLineCount() const { return m_LostLineCount; }

  /// Waits at most Limit for all lines to be written, then joins the thread.
  void close(Duration Limit);

private:
  static constexpr std::size_t CongestedBytes = 16 << 20;

  int_type overflow(int_type Character) override;
  std::streamsize xsputn(const char *Text, std::streamsize Size) override;
  void queueLine();
  void run();
  void writeLine(const std::string &Line);

  const int m_Descriptor;
  std::string m_PartialLine; ///< Current line, not yet complete.
  std::ostream m_Stream;
  std::mutex m_Mutex; ///< Guards m_QueuedLines and m_IsClosing.
  std::condition_variable m_QueueChanged;
  std::deque<std::string> m_QueuedLines;
  bool m_IsClosing = false;

  std::atomic<std::size_t> m_QueuedBytes{0};
  std::atomic<std::uint64_t> m_LostLineCount{0};
  std::atomic<bool> m_IsAbandoned{false};
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_AUDITOUTPUT_H
