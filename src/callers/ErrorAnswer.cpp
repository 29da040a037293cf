#include "callers/ErrorAnswer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

ErrorAnswer ErrorAnswer::fromFinish(const FinishRequest &Finish,
                                    const std::string &RequestId) {
  return {Finish.m_Status,  Finish.m_Code, Finish.m_Message,
          Finish.m_Outcome, RequestId,     Finish.m_RetryAfterSeconds};
}

std::string ErrorAnswer::toJson() const {
  Json Error{
      {"code", m_Code}, {"message", m_Message}, {"outcome", name(m_Outcome)}};
  if (!m_RequestId.empty())
    Error["request_id"] = m_RequestId;
  // Messages may quote input of the caller that is not valid UTF-8.
  return Json{{"error", std::move(Error)}, {"outcome", name(m_Outcome)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

void ErrorAnswer::writeTo(httplib::Response &Response) const {
  Response.status = m_Status;
  Response.set_header("X-Outcome", std::string(name(m_Outcome)));
  if (!m_RequestId.empty())
    Response.set_header("X-Request-Id", m_RequestId);
  if (m_RetryAfterSeconds > 0)
    Response.set_header("Retry-After", std::to_string(m_RetryAfterSeconds));
  Response.set_content(toJson(), "application/json");
}

} // namespace parsleyring
