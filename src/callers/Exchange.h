#ifndef PARSLEYRING_CALLERS_EXCHANGE_H
#define PARSLEYRING_CALLERS_EXCHANGE_H

#include "callers/CallerConnection.h"
#include "callers/CallerContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleyring {

/// How often a waiting handler looks whether its caller is still there.
inline constexpr Duration CallerCheckInterval = std::chrono::milliseconds(250);

/// One request of a caller and the answer to it.
struct Exchange {
  const httplib::Request &m_Request;
  httplib::Response &m_Response;
  CallerConnection &m_Connection;
  const httplib::ContentReader *m_BodyReader = nullptr;
  /// Is told of each refusal, if set.
  std::function<void(const ErrorAnswer &)> m_OnRefusal = {};

  /// SHA-256 of the bearer key; empty if there is none.
  std::string accountKeySha256() const;
  /// Reads the body. Answers the caller and returns empty if that fails.
  std::optional<std::string> readBody(const std::string &RequestId);
  /// Answers that the request was not run.
  void refuse(int Status, const char *Code, const std::string &Message,
              const std::string &RequestId = {});
  void refuse(const ErrorAnswer &Refusal);
  /// Waits for the end of the answer. False if the caller is gone, which the
  /// Router is told.
  bool waitForEnd(const CallerContext &Context, RequestNumber Number,
                  const Answer &Waited);
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_EXCHANGE_H
