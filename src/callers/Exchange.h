#ifndef PARSLEYRING_CALLERS_EXCHANGE_H
#define PARSLEYRING_CALLERS_EXCHANGE_H

#include "callers/CallerConnection.h"
#include "callers/CallerContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleyring {

/// Interval at which a waiting handler checks that its caller is connected.
inline constexpr Duration CallerCheckInterval = std::chrono::milliseconds(250);

/// A request of a caller and the response to it.
struct Exchange {
  const httplib::Request &m_Request;
  httplib::Response &m_Response;
  CallerConnection &m_Connection;
  const httplib::ContentReader *m_BodyReader = nullptr;
  /// Called for each refusal, if set.
  std::function<void(const ErrorAnswer &)> m_OnRefusal = {};

  /// Hex SHA-256 of the bearer key; empty if the request has none.
  std::string accountKeySha256() const;
  /// Reads the body. On failure sends the error and returns empty.
  std::optional<std::string> readBody(const std::string &RequestId);
  /// Answers with an error whose outcome is "not-run".
  void refuse(int Status, const char *Code, const std::string &Message,
              const std::string &RequestId = {});
  void refuse(const ErrorAnswer &Refusal);
  /// Waits for the end of the answer. If the caller disconnects, posts
  /// CallerDisconnected to the Router and returns false.
  bool waitForEnd(const CallerContext &Context, RequestNumber Number,
                  const Answer &PendingAnswer);
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_EXCHANGE_H
