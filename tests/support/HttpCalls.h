#ifndef PARSLEYRING_TESTS_SUPPORT_HTTPCALLS_H
#define PARSLEYRING_TESTS_SUPPORT_HTTPCALLS_H

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace parsleyring {

struct HttpAnswer {
  int m_Status = 0; ///< 0: no complete answer was received.
  /// Names as sent by the server.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  /// The connection could not be opened, so nothing was sent.
  bool m_IsConnectionRefused = false;

  /// Empty if the header is absent.
  std::string header(const std::string &Name) const;
};

struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Path = {};
  std::string m_Body = {};
  std::map<std::string, std::string> m_Headers = {};
  /// Read timeout (no byte of the answer) and write timeout.
  std::chrono::milliseconds m_Timeout{60000};
  /// Called with each chunk of the body; returning false closes the connection.
  std::function<bool(std::string_view)> m_OnChunk = {};
};

/// Sends one request over a new connection to "IP:port".
HttpAnswer sendHttp(const std::string &Address, const HttpRequest &Call);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_HTTPCALLS_H
