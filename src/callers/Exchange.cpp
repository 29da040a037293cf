#include "callers/Exchange.h"

#include <strings.h>

namespace parsleyring {

std::string Exchange::accountKeySha256() const {
  static constexpr std::string_view Scheme = "Bearer ";
  std::string Value = m_Request.get_header_value("Authorization");
  if (::strncasecmp(Value.c_str(), Scheme.data(), Scheme.size()) != 0)
    return {};
  return sha256Hex(std::string_view(Value).substr(Scheme.size()));
}

void Exchange::refuse(int Status, const char *Code, const std::string &Message,
                      const std::string &RequestId) {
  refuse(ErrorAnswer{Status, Code, Message, Outcome::NotRun, RequestId});
}

void Exchange::refuse(const ErrorAnswer &Refusal) {
  Refusal.writeTo(m_Response);
  if (m_OnRefusal)
    m_OnRefusal(Refusal);
}

std::optional<std::string> Exchange::readBody(const std::string &RequestId) {
  std::string Body;
  if (!m_BodyReader)
    return Body;
  switch (m_Connection.readBody(*m_BodyReader, Body)) {
  case BodyResult::Complete:
    return Body;
  case BodyResult::TooLarge:
    refuse(413, "body-too-large", "the body is larger than this VM accepts",
           RequestId);
    return std::nullopt;
  case BodyResult::TimedOut:
    refuse(408, "body-timeout", "the body did not arrive in time", RequestId);
    return std::nullopt;
  case BodyResult::Broken:
    refuse(400, "body-broken", "the body did not arrive whole", RequestId);
    return std::nullopt;
  }
  return std::nullopt;
}

bool Exchange::waitForEnd(const CallerContext &Context, RequestNumber Number,
                          const Answer &PendingAnswer) {
  static constexpr std::uint32_t PastLastToken =
      std::numeric_limits<std::uint32_t>::max();
  while (!PendingAnswer.waitFor(PastLastToken, CallerCheckInterval).m_IsEnded) {
    if (!m_Connection.isPeerDisconnected())
      continue;
    Context.m_Post(CallerDisconnected{Number});
    m_Connection.closeAfterAnswer();
    return false;
  }
  return true;
}

} // namespace parsleyring
