#ifndef PARSLEYRING_GATEWAY_ENDPOINTPROTOCOL_H
#define PARSLEYRING_GATEWAY_ENDPOINTPROTOCOL_H

#include "fleet/FleetTable.h"
#include "fleet/RouteTable.h"
#include "routing/LayerPathPlanner.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// Names of the header fields that callers and endpoints use.
struct HeaderNames {
  std::string m_RequestId;
  std::string m_Deadline; ///< Milliseconds that the caller still waits.
  std::string m_LastEventId;
  std::string m_TokenCounts; ///< "PROMPT,ANSWER"; ANSWER is a maximum.
  std::string m_LengthHint;  ///< Estimate of the tokens of the answer.
  std::string m_Account;
  std::string m_ExpectedEndpoint;
  std::string m_Proof; ///< On each answer that an endpoint vouches for.
  std::string m_NotExecuted;
  std::string m_RetryAfter;
  std::string m_Path;
  std::string m_FaultyEndpoint; ///< Address of the part that failed.
  std::string m_Priority;       ///< 0 to 9, 0 is the most urgent.
};

/// What an engine reports of itself.
struct EngineReport {
  struct Stalled {
    std::string m_RequestId;
    std::string m_Address; ///< Of the part that the request waits for.
  };
  std::vector<Stalled> m_Stalled;
  double m_Pace = 1; ///< Over 1 if the engine is slow.
};

/// A call to an endpoint that is not a caller's request.
struct EndpointCall {
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
};

/// How the endpoints of a deployment spell headers, orders and reports.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;
  virtual const HeaderNames &headers() const = 0;
  virtual std::string pathText(const LayerPath &Path) const = 0;
  virtual EndpointCall reportCall() const = 0;
  virtual std::optional<EngineReport>
  parseReport(const std::string &Body) const = 0;
  /// The engine is to hold Layers and nothing else.
  virtual EndpointCall placeCall(LayerRange Layers) const = 0;
  virtual EndpointCall repathCall(const std::string &RequestId,
                                  const LayerPath &Path) const = 0;
};

/// How the platform spells what lies in its store.
class PlatformRecords {
public:
  virtual ~PlatformRecords() = default;
  virtual const std::string &configurationKey() const = 0;
  virtual const std::string &endpointPrefix() const = 0;
  /// Null with a finding if the text is no configuration.
  virtual std::shared_ptr<const RouteTable>
  parseConfiguration(const std::string &Text, std::string &Finding) const = 0;
  /// Empty with a finding if the text describes no endpoint that can be used.
  virtual std::optional<EndpointEntry>
  parseEndpoint(const std::string &Id, const std::string &Text,
                std::string &Finding) const = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENDPOINTPROTOCOL_H
