#include "callers/ServiceHandler.h"

#include "callers/Exchange.h"

namespace parsleyring {

static constexpr std::size_t MaxIdempotencyKeyBytes = 256;

std::optional<ServicePath> parseServicePath(std::string_view Text) {
  static constexpr std::string_view Prefix = "/services/";
  if (Text.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  Text.remove_prefix(Prefix.size());
  std::size_t PoolEnd = Text.find_first_of("/?");
  std::string_view Pool = Text.substr(0, PoolEnd);
  if (Pool.empty())
    return std::nullopt;
  std::string_view Rest =
      PoolEnd == std::string_view::npos ? "" : Text.substr(PoolEnd);
  std::string Path(Rest);
  if (Path.empty() || Path.front() != '/')
    Path.insert(0, "/");
  return ServicePath{std::string(Pool), std::move(Path)};
}

/// A service may resolve "." and ".." and so run another path than the one that
/// was matched with the rules of the configuration document.
static bool hasDotSegment(const std::string &Path) {
  std::string PathWithSlash = Path + "/";
  return PathWithSlash.find("/./") != std::string::npos ||
         PathWithSlash.find("/../") != std::string::npos;
}

/// Describes the error of an idempotency key; empty if it is valid or absent.
static std::string idempotencyKeyError(const httplib::Request &Request) {
  if (!Request.has_header("Idempotency-Key"))
    return {};
  if (Request.get_header_value_count("Idempotency-Key") > 1)
    return "Idempotency-Key is given more than once";
  std::size_t Size = Request.get_header_value("Idempotency-Key").size();
  if (Size == 0 || Size > MaxIdempotencyKeyBytes)
    return "Idempotency-Key must have 1 to " +
           std::to_string(MaxIdempotencyKeyBytes) + " bytes";
  return {};
}

static void writeServiceAnswer(const ServiceAnswer &Value,
                               httplib::Response &Response) {
  Response.status = Value.m_Status;
  for (const auto &[Name, Text] : Value.m_Headers)
    Response.headers.emplace(Name, Text);
  Response.body = Value.m_Body;
}

void ServiceHandler::handle(Exchange &Call) const {
  RequestNumber Number = m_Context.m_NextRequestNumber();
  std::string Id = requestId(m_Context.m_Self, Number);
  Call.m_OnRefusal = [this, Number](const ErrorAnswer &Refusal) {
    m_Context.m_RecordRefusal(Number, Refusal);
  };
  std::optional<std::string> Body = Call.readBody(Id);
  if (!Body)
    return;
  // Rules are matched with the decoded path; the service gets the target as
  // sent by the caller.
  auto Decoded = parseServicePath(Call.m_Request.path);
  auto Raw = parseServicePath(Call.m_Request.target);
  if (!Decoded || !Raw || hasDotSegment(Decoded->m_Path))
    return Call.refuse(400, "malformed-path",
                       "the path must be /services/POOL/PATH without \".\" "
                       "and \"..\" segments",
                       Id);
  if (std::string Error = idempotencyKeyError(Call.m_Request); !Error.empty())
    return Call.refuse(400, "malformed-key", Error, Id);
  if (std::optional<ErrorAnswer> Refusal = m_Context.m_Refusal()) {
    Refusal->m_RequestId = Id;
    return Call.refuse(*Refusal);
  }
  ServiceCallArrived Arrived;
  Arrived.m_Request = Number;
  Arrived.m_AccountKeySha256 = Call.accountKeySha256();
  Arrived.m_Pool = Decoded->m_Pool;
  Arrived.m_Method = Call.m_Request.method;
  Arrived.m_Path = Decoded->m_Path;
  Arrived.m_IdempotencyKey = Call.m_Request.get_header_value("Idempotency-Key");
  // Includes method and path, so that reuse of a key for another call is found.
  Arrived.m_BodySha256 =
      sha256Hex(Arrived.m_Method + "\n" + Raw->m_Path + "\n" + *Body);
  auto Payload = std::make_shared<CallerPayload>();
  Payload->m_RequestId = Id;
  Payload->m_AccountKeySha256 = Arrived.m_AccountKeySha256;
  Payload->m_Content = ServicePayload{
      Arrived.m_Method, Raw->m_Path, Call.m_Connection.contentType(),
      Arrived.m_IdempotencyKey, std::move(*Body)};
  std::shared_ptr<Answer> PendingAnswer =
      m_Context.m_Answers.create(Number, std::move(Payload));
  m_Context.m_Post(Arrived);
  if (!Call.waitForEnd(m_Context, Number, *PendingAnswer))
    return;
  FinishRequest End = PendingAnswer->end();
  std::optional<ServiceAnswer> Value = PendingAnswer->serviceAnswer();
  if (End.m_Outcome != Outcome::Completed || !Value)
    return ErrorAnswer::fromFinish(End, Id).writeTo(Call.m_Response);
  writeServiceAnswer(*Value, Call.m_Response);
  Call.m_Response.set_header("X-Outcome", std::string(name(End.m_Outcome)));
  Call.m_Response.set_header("X-Request-Id", Id);
}

} // namespace parsleyring
