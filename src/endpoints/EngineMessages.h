#ifndef PARSLEYRING_ENDPOINTS_ENGINEMESSAGES_H
#define PARSLEYRING_ENDPOINTS_ENGINEMESSAGES_H

#include "callers/CallerPayload.h"
#include "parsleyring/Events.h"

#include <stdexcept>

namespace parsleyring {

/// A message of an endpoint does not have the agreed form.
class MessageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// What the first stage of a route is asked for.
struct EngineCall {
  std::shared_ptr<const CallerPayload> m_Payload; ///< Of a completion.
  std::uint32_t m_Epoch = 0;
  std::vector<Stage> m_Route;
  std::vector<std::string> m_Delivered; ///< Texts of the first tokens.
};

/// JSON body of POST /v1/completions to the first stage.
std::string engineCallJson(const EngineCall &Call);

/// Error object of an endpoint.
struct EndpointError {
  std::string m_Code;
  std::string m_Outcome;
  std::string m_Endpoint; ///< The stage that failed; empty if not told.
  std::string m_Message;
  std::string m_Reason; ///< Why a later stage refused; empty if not told.
};

/// Empty if the text is not an error object.
std::optional<EndpointError> parseEndpointError(const std::string &Json);

/// One event of an engine's stream.
struct EngineEvent {
  bool m_IsEndMark = false; ///< "[DONE]"
  bool m_HasToken = false;
  std::uint32_t m_Position = 0;
  std::string m_Text;
  std::vector<Hop> m_Hops;
  std::string m_FinishReason; ///< Empty if the answer goes on.
  std::optional<EndpointError> m_Error;
};

/// Throws MessageError.
EngineEvent parseEngineEvent(const std::string &Data);

/// Body of GET /load. Throws MessageError.
LoadReported parseLoadReport(const std::string &Json);

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ENGINEMESSAGES_H
