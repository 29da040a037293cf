#ifndef PARSLEYRING_EMULATOR_HTTPCLIENTPOOL_H
#define PARSLEYRING_EMULATOR_HTTPCLIENTPOOL_H

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// Pool of kept-alive connections to other engines. Thread-safe.
class HttpClientPool {
public:
  HttpClientPool();
  ~HttpClientPool();

  struct Answer {
    int m_Status = 0;
    std::string m_Body;
  };
  /// Empty if no complete response arrived.
  std::optional<Answer> post(const std::string &Address,
                             const std::string &Path, const std::string &Body);

private:
  struct Connection;
  std::unique_ptr<Connection> acquire(const std::string &Address);

  std::mutex m_Mutex;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_Idle;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_HTTPCLIENTPOOL_H
