#include "emulator/HttpClientPool.h"

#include "emulator/HttpServer.h"

#include <httplib.h>

namespace parsleyring {

static constexpr std::chrono::seconds ConnectTimeout{1};
// Exceeds the time that a token waits in the batch of an overloaded engine.
static constexpr std::chrono::seconds TransferTimeout{3};

struct HttpClientPool::Connection {
  Connection(const std::string &Host, int Port) : m_Client(Host, Port) {
    m_Client.set_keep_alive(true);
    m_Client.set_tcp_nodelay(true);
    m_Client.set_connection_timeout(ConnectTimeout);
    m_Client.set_read_timeout(TransferTimeout);
    m_Client.set_write_timeout(TransferTimeout);
  }

  httplib::Client m_Client;
};

HttpClientPool::HttpClientPool() = default;
HttpClientPool::~HttpClientPool() = default;

std::unique_ptr<HttpClientPool::Connection>
HttpClientPool::acquire(const std::string &Address) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto &Idle = m_Idle[Address];
    if (!Idle.empty()) {
      auto Reused = std::move(Idle.back());
      Idle.pop_back();
      return Reused;
    }
  }
  auto [Host, Port] = splitAddress(Address);
  return std::make_unique<Connection>(Host, Port);
}

std::optional<HttpClientPool::Answer>
HttpClientPool::post(const std::string &Address, const std::string &Path,
                     const std::string &Body) {
  auto Used = acquire(Address);
  auto Result = Used->m_Client.Post(Path, Body, "application/json");
  if (!Result)
    return std::nullopt;
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Idle[Address].push_back(std::move(Used));
  return Answer{Result->status, std::move(Result->body)};
}

} // namespace parsleyring
