#ifndef PARSLEYRING_ENDPOINTS_ENGINEMESSAGES_H
#define PARSLEYRING_ENDPOINTS_ENGINEMESSAGES_H

#include "callers/CallerPayload.h"
#include "parsleyring/Events.h"

#include <stdexcept>

namespace parsleyring {

/// Thrown for a message of an endpoint that violates the protocol.
class MessageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Completion call to the first stage of a route.
struct EngineCall {
  std::shared_ptr<const CallerPayload>
      m_Payload; ///< Holds a CompletionPayload.
  std::uint32_t m_Epoch = 0;
  std::vector<Stage> m_Route;
  std::vector<std::string>
      m_Delivered; ///< Texts of the tokens delivered so far.
};

/// JSON body of POST /v1/completions to the first stage.
std::string engineCallJson(const EngineCall &Call);

/// The "error" object in a message of an endpoint.
struct EndpointError {
  std::string m_Code;
  std::string m_Outcome;
  std::string m_Endpoint; ///< Stage that failed; empty if absent.
  std::string m_Message;
  std::string m_Reason; ///< Why a later stage refused; empty if absent.
};

/// Parses {"error": {...}}. Empty if the text has another form.
std::optional<EndpointError> parseEndpointError(const std::string &Json);

/// One server-sent event of an engine's answer.
struct EngineEvent {
  bool m_IsDoneEvent = false; ///< The data is "[DONE]".
  bool m_HasToken = false;
  std::uint32_t m_Position = 0;
  std::string m_Text;
  std::vector<Hop> m_Hops;
  std::string m_FinishReason; ///< Empty if more tokens follow.
  std::optional<EndpointError> m_Error;
};

/// Parses the data of an event. Throws MessageError.
EngineEvent parseEngineEvent(const std::string &Data);

/// Parses the body of an answer to GET /load. Throws MessageError.
LoadReported parseLoadReport(const std::string &Json);

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ENGINEMESSAGES_H
