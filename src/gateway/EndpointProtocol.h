#ifndef PARSLEYRING_GATEWAY_ENDPOINTPROTOCOL_H
#define PARSLEYRING_GATEWAY_ENDPOINTPROTOCOL_H

#include "fleet/FleetTable.h"
#include "fleet/RouteTable.h"
#include "routing/LayerPathPlanner.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

struct ResponseHead;

/// What an answer says of whether its endpoint is leaving.
enum class LeavingStatement { None, Leaving, Invalid };

/// Names of the HTTP header fields that callers and endpoints use.
struct HeaderNames {
  std::string m_RequestId;
  std::string m_Deadline; ///< Milliseconds until the caller's deadline.
  std::string m_LastEventId;
  std::string m_TokenCounts; ///< "PROMPT,ANSWER"; ANSWER is a maximum.
  std::string m_LengthHint;  ///< Estimated tokens of the answer.
  /// "ID:TOKENS" for each part of the prompt in order, separated by commas. The
  /// last part belongs to the request or its session alone.
  std::string m_PromptParts;
  std::string m_Account;
  std::string m_ExpectedEndpoint;
  std::string m_Seal; ///< Present on each genuine answer.
  std::string m_NotExecuted;
  std::string m_RetryAfter;
  std::string m_Path;
  /// Requests per second that the endpoint accepts from all VMs together.
  std::string m_RateLimit;
  std::string m_FaultyEndpoint; ///< Address of the endpoint that failed.
  std::string m_Priority;       ///< 0 to 9, 0 is the most urgent.
};

/// The state that an engine reports.
struct EngineReport {
  struct Stalled {
    std::string m_RequestId;
    std::string m_Address; ///< Of the endpoint that blocks the request.
  };
  std::vector<Stalled> m_Stalled;
  /// Over 1 if the engine is slow; empty if the report does not tell.
  std::optional<double> m_Pace;
};

/// A gateway's own call to an endpoint, not on behalf of a caller.
struct EndpointCall {
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
};

/// The headers, orders and reports of the endpoints of a deployment.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;
  virtual const HeaderNames &headers() const = 0;
  virtual LeavingStatement leavingStatement(const ResponseHead &Head) const = 0;
  virtual std::string pathText(const LayerPath &Path) const = 0;
  virtual EndpointCall reportCall() const = 0;
  /// Reads what is valid of a report. Finding is set if any part is not.
  virtual EngineReport parseReport(const std::string &Body,
                                   std::string &Finding) const = 0;
  /// Orders the engine to hold exactly Layers.
  virtual EndpointCall placeCall(LayerRange Layers) const = 0;
  virtual EndpointCall repathCall(const std::string &RequestId,
                                  const LayerPath &Path) const = 0;
};

/// The keys and formats of the records in the platform's store.
class RecordFormat {
public:
  virtual ~RecordFormat() = default;
  virtual const std::string &configurationKey() const = 0;
  virtual const std::string &endpointPrefix() const = 0;
  /// Null, with Finding set, if the text is not a valid configuration.
  virtual std::shared_ptr<const RouteTable>
  parseConfiguration(const std::string &Text, std::string &Finding) const = 0;
  /// Empty, with Finding set, if the text is not a valid endpoint entry.
  virtual std::optional<EndpointEntry>
  parseEndpoint(const std::string &Id, const std::string &Text,
                std::string &Finding) const = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENDPOINTPROTOCOL_H
