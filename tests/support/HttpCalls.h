#ifndef PARSLEYRING_TESTS_SUPPORT_HTTPCALLS_H
#define PARSLEYRING_TESTS_SUPPORT_HTTPCALLS_H

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace parsleyring {

struct HttpAnswer {
  int m_Status = 0; ///< 0: there was no whole answer.
  std::map<std::string, std::string> m_Headers; ///< Names as the server sent.
  std::string m_Body;
  /// There was no connection: nothing was sent.
  bool m_IsRefused = false;

  /// Empty if the header is absent.
  std::string header(const std::string &Name) const;
};

struct HttpOrder {
  std::string m_Method = "GET";
  std::string m_Path = {};
  std::string m_Body = {};
  std::map<std::string, std::string> m_Headers = {};
  /// Longest time without a byte of the answer.
  std::chrono::milliseconds m_Timeout{60000};
  /// Gets the body piece by piece; returning false closes the connection.
  std::function<bool(std::string_view)> m_OnPiece = {};
};

/// Sends one request over a new connection to "IP:port".
HttpAnswer sendHttp(const std::string &Address, const HttpOrder &Order);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_HTTPCALLS_H
