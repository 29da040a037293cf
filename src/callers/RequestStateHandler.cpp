#include "callers/RequestStateHandler.h"

#include "core/Base64.h"

#include "callers/Exchange.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr std::string_view Prefix = "/v1/requests/";

/// Parses the query parameter "from"; 0 if it is absent.
static std::optional<std::uint32_t> fromPosition(const httplib::Request &Call) {
  if (!Call.has_param("from"))
    return 0;
  std::string Text = Call.get_param_value("from");
  std::uint32_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

static std::string stateJson(const std::string &Id, const RemoteAnswer &Found,
                             std::uint32_t From) {
  bool IsEnded = Found.m_State == RemoteAnswer::State::Ended;
  Json Result{{"id", Id}, {"state", IsEnded ? "ended" : "in-progress"}};
  if (IsEnded) {
    Result["outcome"] = name(Found.m_Outcome);
    Result["status"] = Found.m_Status;
  }
  if (Found.m_ContentType.empty()) {
    Result["from"] = From;
    Result["tokens"] = Found.m_Tokens;
    Result["text"] = Found.m_Body;
    return Result.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  Result["content_type"] = Found.m_ContentType;
  try {
    Result["body"] = Found.m_Body;
    return Result.dump();
  } catch (const Json::type_error &) { // The body is not valid UTF-8.
    Result.erase("body");
    Result["body_base64"] = encodeBase64(Found.m_Body);
    return Result.dump();
  }
}

std::optional<RemoteAnswer>
RequestStateHandler::find(const OwnedId &Id, std::uint32_t From) const {
  if (Id.m_Owner.m_VM != m_Context.m_Self.m_VM)
    return m_Context.m_QueryOwner(Id, From);
  if (Id.m_Owner.m_Number != m_Context.m_Self.m_Number)
    return std::nullopt;
  std::shared_ptr<Answer> LocalAnswer = m_Context.m_Answers.find(Id.m_Number);
  if (!LocalAnswer)
    return RemoteAnswer{};
  m_Context.m_Post(CallerReturned{Id.m_Number});
  return LocalAnswer->snapshot(From);
}

void RequestStateHandler::handle(Exchange &Call) const {
  std::string Text = Call.m_Request.path.substr(Prefix.size());
  std::optional<OwnedId> Id = parseOwnedId("req", Text);
  std::optional<std::uint32_t> From = fromPosition(Call.m_Request);
  if (!Id || !From)
    return Call.refuse(400, "malformed-id",
                       Id ? "from: must be a whole number"
                          : "the path must be /v1/requests/ID");
  std::optional<RemoteAnswer> Found = find(*Id, *From);
  if (!Found)
    return ErrorAnswer{404, "owner-gone",
                       "the VM that took the request cannot be asked",
                       Outcome::Unknown, Text}
        .writeTo(Call.m_Response);
  // Request ids are not secret: an answer of another account is reported as
  // not found.
  bool IsOwnAccount = Found->m_State != RemoteAnswer::State::Absent &&
                      m_Context.m_IsSameAccount(Call.accountKeySha256(),
                                                Found->m_AccountKeySha256);
  if (!IsOwnAccount)
    return ErrorAnswer{404, "not-kept",
                       "the request is not known or its answer is not kept",
                       Outcome::Unknown, Text}
        .writeTo(Call.m_Response);
  Call.m_Response.set_header("X-Request-Id", Text);
  if (Found->m_State == RemoteAnswer::State::Ended)
    Call.m_Response.set_header("X-Outcome",
                               std::string(name(Found->m_Outcome)));
  Call.m_Response.set_content(stateJson(Text, *Found, *From),
                              "application/json");
}

} // namespace parsleyring
