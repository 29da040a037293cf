#include "callers/ReservationHandler.h"

#include "callers/Exchange.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

static constexpr std::uint32_t RetryAfterSeconds = 1;

static ErrorAnswer refusal(const char *Code, const char *Message) {
  return {503, Code, Message, Outcome::NotRun, {}, RetryAfterSeconds};
}

void ReservationHandler::handle(Exchange &Call) const {
  // The body is ignored, but must be consumed before the next request.
  if (!Call.readBody({}))
    return;
  if (std::optional<ErrorAnswer> Refusal = m_Context.m_Refusal())
    return Call.refuse(*Refusal);
  std::optional<std::string> Account =
      m_Context.m_AccountName(Call.accountKeySha256());
  if (!Account)
    return Call.refuse(401, "unknown-key", "the account key is not known");
  // Reservations are lost when this process ends.
  if (m_Context.m_IsDraining())
    return Call.refuse(refusal("stopping", "this VM is stopping"));
  std::optional<std::string> Key = m_Context.m_IssueReservation(*Account);
  if (!Key)
    return Call.refuse(refusal("too-many-reservations",
                               "this VM keeps no further reservations"));
  Call.m_Response.set_header("X-Outcome",
                             std::string(name(Outcome::Completed)));
  Call.m_Response.set_content(nlohmann::json{{"key", *Key}}.dump(),
                              "application/json");
}

} // namespace parsleyring
