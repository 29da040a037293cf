#ifndef PARSLEYRING_ENDPOINTS_ENGINECLIENT_H
#define PARSLEYRING_ENDPOINTS_ENGINECLIENT_H

#include "endpoints/EndpointAttempt.h"
#include "endpoints/EngineMessages.h"

#include <functional>

namespace parsleyring {

class EndpointConnection;

/// Sends a completion to the first stage of a route and receives the tokens as
/// a stream of server-sent events.
class EngineClient final : public EndpointAttempt {
public:
  using TokenCallback = std::function<void(
      std::uint32_t Position, std::vector<Hop> Hops, std::string Text)>;

  EngineClient(EngineCall Call, TokenCallback OnToken);
  ~EngineClient() override;

  AttemptReport run() override;
  void cancel() override;

private:
  class AnswerReader;

  const EngineCall m_Call;
  const TokenCallback m_OnToken;
  std::unique_ptr<EndpointConnection>
      m_Connection; ///< Null if the address is invalid.
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ENGINECLIENT_H
