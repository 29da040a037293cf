#ifndef PARSLEYRING_ENDPOINTS_ENGINECLIENT_H
#define PARSLEYRING_ENDPOINTS_ENGINECLIENT_H

#include "endpoints/EndpointAttempt.h"
#include "endpoints/EngineMessages.h"

#include <functional>

namespace parsleyring {

class EndpointConnection;

/// One stream of tokens from the first stage of a route.
class EngineClient final : public EndpointAttempt {
public:
  using TokenSink = std::function<void(
      std::uint32_t Position, std::vector<Hop> Hops, std::string Text)>;

  EngineClient(EngineCall Call, TokenSink OnToken);
  ~EngineClient() override;

  AttemptReport run() override;
  void cancel() override;

private:
  class Stream;

  const EngineCall m_Call;
  const TokenSink m_OnToken;
  std::unique_ptr<EndpointConnection> m_Connection; ///< Null: bad address.
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ENGINECLIENT_H
