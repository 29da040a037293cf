#include "gateway/ConnectionPool.h"

#include <algorithm>

namespace parsleyring {

// Idle timeout of a connection whose server states none.
static constexpr Duration UsualIdleTime = std::chrono::seconds(4);
// Further idle connections to the same address are closed.
static constexpr std::size_t MaxIdlePerAddress = 16;

std::shared_ptr<HttpConnection>
ConnectionPool::take(const std::string &Address, Duration MaxIdle, Time Now) {
  std::vector<Idle> &Channels = m_Idle[Address];
  while (!Channels.empty()) {
    Idle Newest = Channels.back();
    if (Now - Newest.m_Since > MaxIdle)
      break;
    Channels.pop_back();
    if (Now < Newest.m_Until && Newest.m_Channel->takeFromIdle())
      return Newest.m_Channel;
    Newest.m_Channel->close();
  }
  return std::make_shared<HttpConnection>(m_Loop, Address);
}

void ConnectionPool::give(const std::shared_ptr<HttpConnection> &Channel,
                          Time Now) {
  if (!Channel->isReusable())
    return;
  // Bytes after a response belong to no request and make it unusable.
  if (Channel->hasBufferedBytes()) {
    Channel->close();
    return;
  }
  std::vector<Idle> &Channels = m_Idle[Channel->address()];
  if (Channels.size() >= MaxIdlePerAddress) {
    Channel->close();
    return;
  }
  Channels.push_back(
      {Channel, Now, Now + Channel->idleTimeout().value_or(UsualIdleTime)});
  HttpConnection *Watched = Channel.get();
  Channel->watchIdle([this, Watched, Address = Channel->address()] {
    forget(Watched, Address);
  });
}

void ConnectionPool::forget(const HttpConnection *Channel,
                            const std::string &Address) {
  std::vector<Idle> &Channels = m_Idle[Address];
  Channels.erase(std::remove_if(Channels.begin(), Channels.end(),
                                [Channel](const Idle &Entry) {
                                  return Entry.m_Channel.get() == Channel;
                                }),
                 Channels.end());
}

void ConnectionPool::expire(Time Now) {
  for (auto Entry = m_Idle.begin(); Entry != m_Idle.end();) {
    std::vector<Idle> &Channels = Entry->second;
    for (Idle &Candidate : Channels)
      if (Now >= Candidate.m_Until)
        Candidate.m_Channel->close();
    Channels.erase(std::remove_if(Channels.begin(), Channels.end(),
                                  [Now](const Idle &Candidate) {
                                    return Now >= Candidate.m_Until;
                                  }),
                   Channels.end());
    Entry = Channels.empty() ? m_Idle.erase(Entry) : std::next(Entry);
  }
}

std::size_t ConnectionPool::size() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Channels] : m_Idle)
    Sum += Channels.size();
  return Sum;
}

} // namespace parsleyring
