#ifndef PARSLEYRING_CALLERS_ERRORANSWER_H
#define PARSLEYRING_CALLERS_ERRORANSWER_H

#include "parsleyring/Actions.h"

#include <string>

namespace httplib {
struct Response;
}

namespace parsleyring {

/// Error sent to a caller.
struct ErrorAnswer {
  int m_Status = 500;
  std::string m_Code;
  std::string m_Message;
  Outcome m_Outcome = Outcome::NotRun;
  std::string m_RequestId = {};
  std::uint32_t m_RetryAfterSeconds = 0; ///< 0: no Retry-After header.

  static ErrorAnswer fromFinish(const FinishRequest &Finish,
                                const std::string &RequestId);

  /// {"error": {code, message, outcome, request_id}, "outcome": ...}
  std::string toJson() const;
  void writeTo(httplib::Response &Response) const;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_ERRORANSWER_H
