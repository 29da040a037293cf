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
  m_Line += traits_type::to_char_type(Character);
  if (m_Line.back() == '\n')
    queueLine();
  return Character;
}

std::streamsize AuditOutput::xsputn(const char *Text, std::streamsize Size) {
  m_Line.append(Text, static_cast<std::size_t>(Size));
  if (!m_Line.empty() && m_Line.back() == '\n')
    queueLine();
  return Size;
}

void AuditOutput::queueLine() {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_QueuedBytes += m_Line.size();
    m_Lines.push_back(std::move(m_Line));
  }
  m_Line.clear();
  m_Changed.notify_all();
}

void AuditOutput::run() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    m_Changed.wait(Lock, [this] { return m_IsClosing || !m_Lines.empty(); });
    if (m_Lines.empty())
      return;
    std::deque<std::string> Batch;
    Batch.swap(m_Lines);
    Lock.unlock();
    for (const std::string &Line : Batch) {
      writeLine(Line);
      m_QueuedBytes -= Line.size();
    }
    Lock.lock();
    m_Changed.notify_all();
  }
}

void AuditOutput::writeLine(const std::string &Line) {
  std::size_t Done = 0;
  while (Done < Line.size() && !m_IsAbandoned) {
    // A log collector that stopped reading must not block the shutdown.
    pollfd Entry{m_Descriptor, POLLOUT, 0};
    if (::poll(&Entry, 1, PollMillis) <= 0)
      continue;
    std::size_t Size = std::min(Line.size() - Done, MaxWriteBytes);
    ssize_t Count = ::write(m_Descriptor, Line.data() + Done, Size);
    if (Count >= 0) {
      Done += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno == EINTR || errno == EAGAIN)
      continue;
    if (m_LostLines == 0)
      PLOG(ERROR) << "cannot write audit records";
    break;
  }
  if (Done < Line.size())
    ++m_LostLines;
}

void AuditOutput::close(Duration Limit) {
  if (!m_Thread.joinable())
    return;
  {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_IsClosing = true;
    m_Changed.notify_all();
    m_Changed.wait_for(Lock, Limit, [this] { return m_QueuedBytes == 0; });
    m_IsAbandoned = m_QueuedBytes > 0;
  }
  m_Thread.join();
}

} // namespace parsleyring
