#include "audit/AuditWriter.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace parsleyring {

static constexpr int PollMillis = 100;

std::string auditLine(const Incarnation &Self, std::uint64_t Sequence,
                      const WriteAudit &Record) {
  nlohmann::ordered_json Head{{"seq", Sequence},
                              {"at_us", Record.m_At.time_since_epoch().count()},
                              {"vm", Self.m_VM},
                              {"incarnation", Self.m_Number},
                              {"kind", name(Record.m_Kind)}};
  if (Record.m_Request != 0)
    Head["request"] = requestId(Self, Record.m_Request);
  std::string Line = Head.dump();
  // The fields are a JSON object already.
  if (Record.m_FieldsJson.size() > 2)
    Line.replace(Line.size() - 1, 1, "," + Record.m_FieldsJson.substr(1));
  return Line;
}

AuditWriter::AuditWriter(const Incarnation &Self, int Descriptor)
    : m_Self(Self), m_Descriptor(Descriptor), m_Thread([this] { run(); }) {}

AuditWriter::~AuditWriter() { close(Duration::zero()); }

void AuditWriter::write(const WriteAudit &Record) {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Lines.push_back(auditLine(m_Self, ++m_LastSequence, Record) + "\n");
    m_QueuedBytes += m_Lines.back().size();
  }
  m_Changed.notify_one();
}

void AuditWriter::run() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    m_Changed.wait(Lock, [this] { return m_IsClosing || !m_Lines.empty(); });
    if (m_Lines.empty())
      return;
    std::deque<std::string> Batch;
    Batch.swap(m_Lines);
    Lock.unlock();
    for (const std::string &Line : Batch) {
      writeAll(Line);
      m_QueuedBytes -= Line.size();
    }
    m_Changed.notify_all();
    Lock.lock();
  }
}

void AuditWriter::writeAll(const std::string &Text) {
  std::size_t Done = 0;
  while (Done < Text.size() && !m_IsAbandoned) {
    // A collector that stopped reading must not keep the process from ending.
    pollfd Entry{m_Descriptor, POLLOUT, 0};
    if (::poll(&Entry, 1, PollMillis) <= 0)
      continue;
    ssize_t Count =
        ::write(m_Descriptor, Text.data() + Done, Text.size() - Done);
    if (Count >= 0) {
      Done += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno == EINTR || errno == EAGAIN)
      continue;
    if (m_LostLines++ == 0)
      PLOG(ERROR) << "audit records cannot be written";
    return;
  }
  if (Done < Text.size())
    ++m_LostLines;
}

void AuditWriter::close(Duration Limit) {
  if (!m_Thread.joinable())
    return;
  {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_IsClosing = true;
    m_Changed.notify_all();
    m_Changed.wait_for(Lock, Limit, [this] { return m_QueuedBytes == 0; });
    if (m_QueuedBytes > 0)
      m_IsAbandoned = true;
  }
  m_Thread.join();
}

} // namespace parsleyring
