#include "audit/AuditOutput.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace parsleyring {

static constexpr int PollMillis = 100;
/// poll() reports a pipe as writable only if this much fits without blocking.
static constexpr std::size_t MaxWriteBytes = 4096;

AuditOutput::AuditOutput(int Descriptor)
    : m_Descriptor(Descriptor), m_Stream(this), m_Thread([this] { run(); }) {}

AuditOutput::~AuditOutput() { close(Duration::zero()); }

AuditOutput::int_type AuditOutput::overflow(int_type Character) {
  if (traits_type::eq_int_type(Character, traits_type::eof()))
    return traits_type::not_eof(Character);
  m_PartialLine += traits_type::to_char_type(Character);
  if (m_PartialLine.back() == '\n')
    queueLine();
  return Character;
}

std::streamsize AuditOutput::xsputn(const char *Text, std::streamsize Size) {
  m_PartialLine.append(Text, static_cast<std::size_t>(Size));
  if (!m_PartialLine.empty() && m_PartialLine.back() == '\n')
    queueLine();
  return Size;
}

void AuditOutput::queueLine() {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_QueuedBytes += m_PartialLine.size();
    m_QueuedLines.push_back(std::move(m_PartialLine));
  }
  m_PartialLine.clear();
  m_QueueChanged.notify_all();
}

void AuditOutput::run() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    m_QueueChanged.wait(
        Lock, [this] { return m_IsClosing || !m_QueuedLines.empty(); });
    if (m_QueuedLines.empty())
      return;
    std::deque<std::string> Batch;
    Batch.swap(m_QueuedLines);
    Lock.unlock();
    for (const std::string &Line : Batch) {
      writeLine(Line);
      m_QueuedBytes -= Line.size();
    }
    Lock.lock();
    m_QueueChanged.notify_all();
  }
}

void AuditOutput::writeLine(const std::string &Line) {
  std::size_t WrittenBytes = 0;
  while (WrittenBytes < Line.size() && !m_IsAbandoned) {
    // A log collector that stopped reading must not block the shutdown.
    pollfd Entry{m_Descriptor, POLLOUT, 0};
    if (::poll(&Entry, 1, PollMillis) <= 0)
      continue;
    std::size_t Size = std::min(Line.size() - WrittenBytes, MaxWriteBytes);
    ssize_t Count = ::write(m_Descriptor, Line.data() + WrittenBytes, Size);
    if (Count >= 0) {
      WrittenBytes += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno == EINTR || errno == EAGAIN)
      continue;
    if (m_LostLineCount == 0)
      PLOG(ERROR) << "cannot write audit records";
    break;
  }
  if (WrittenBytes < Line.size())
    ++m_LostLineCount;
}

void AuditOutput::close(Duration Limit) {
  if (!m_Thread.joinable())
    return;
  {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_IsClosing = true;
    m_QueueChanged.notify_all();
    m_QueueChanged.wait_for(Lock, Limit, [this] { return m_QueuedBytes == 0; });
    m_IsAbandoned = m_QueuedBytes > 0;
  }
  m_Thread.join();
}

} // namespace parsleyring
