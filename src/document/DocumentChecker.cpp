#include "document/DocumentChecker.h"

#include "core/TextChecks.h"
#include "routing/RoutePlanner.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <unordered_set>

namespace parsleyring {

using NameIndex = std::unordered_map<std::string_view, std::size_t>;

/// Bounds the memory of the layer coverage check; larger counts are mistakes.
static constexpr std::uint32_t MaxLayers = 10000;

/// True if some of the ranges, placed end to end, cover [0, Layers) exactly.
static bool canCoverLayers(std::vector<LayerRange> Ranges,
                           std::uint32_t Layers) {
  std::sort(Ranges.begin(), Ranges.end(),
            [](const LayerRange &Left, const LayerRange &Right) {
              return Left.m_First < Right.m_First;
            });
  // Every range starts before it ends. In order of their starts, whether a
  // layer is reachable is therefore known before any range that starts at it.
  std::vector<bool> IsReachable(Layers + 1, false);
  IsReachable[0] = true;
  for (const LayerRange &Range : Ranges)
    if (Range.m_First < Range.m_End && Range.m_End <= Layers &&
        IsReachable[Range.m_First])
      IsReachable[Range.m_End] = true;
  return IsReachable[Layers];
}

namespace {

/// Runs all checks on one document and collects the findings.
class CheckRun {
public:
  CheckRun(const Document &Value,
           const std::vector<std::string> &RouteStrategies)
      : m_Document(Value), m_RouteStrategies(RouteStrategies) {}

  std::vector<Finding> run() {
    checkPolicy();
    for (std::size_t Index = 0; Index < m_Document.m_Pools.size(); ++Index)
      checkPool(m_Document.m_Pools[Index], Index);
    for (std::size_t Index = 0; Index < m_Document.m_Pipelines.size(); ++Index)
      checkPipeline(m_Document.m_Pipelines[Index], Index);
    for (std::size_t Index = 0; Index < m_Document.m_Rules.size(); ++Index)
      checkRule(m_Document.m_Rules[Index], Index);
    for (std::size_t Index = 0; Index < m_Document.m_Links.size(); ++Index)
      checkLink(m_Document.m_Links[Index], Index);
    m_AccountNames.reserve(m_Document.m_Accounts.size());
    m_KeyHashes.reserve(m_Document.m_Accounts.size());
    for (std::size_t Index = 0; Index < m_Document.m_Accounts.size(); ++Index)
      checkAccount(m_Document.m_Accounts[Index], Index);
    if (m_OmittedFindings > 0)
      m_Findings.push_back(
          {"", 0, "", std::to_string(m_OmittedFindings) + " further findings"});
    return std::move(m_Findings);
  }

private:
  /// Position of an entity; formatted as a key only when a finding is reported.
  struct EntityPosition {
    std::string_view m_Array;
    std::size_t m_Index;
    std::string m_Parent = {};
  };

  void report(const EntityPosition &Position, std::string_view Key,
              const std::string &Message) {
    if (m_Findings.size() >= DocumentChecker::MaxFindings) {
      ++m_OmittedFindings;
      return;
    }
    std::string Path = Position.m_Parent + std::string(Position.m_Array);
    Path += "[" + std::to_string(Position.m_Index) + "]";
    if (!Key.empty())
      Path += "." + std::string(Key);
    m_Findings.push_back({"", 0, Path, Message});
  }

  void requirePositive(const EntityPosition &Position, std::string_view Key,
                       double Value) {
    if (!std::isfinite(Value) || Value <= 0)
      report(Position, Key, "must be above 0");
  }

  void requireIdentifier(const EntityPosition &Position, std::string_view Key,
                         const std::string &Value) {
    if (!isIdentifier(Value))
      report(Position, Key, std::string(IdentifierRequirement));
  }

  void requireUnique(NameIndex &Names, const EntityPosition &Position,
                     std::string_view Key, std::string_view Value) {
    auto [Found, IsNew] = Names.try_emplace(Value, Position.m_Index);
    if (!IsNew && !Value.empty())
      report(Position, Key,
             "\"" + std::string(Value) + "\" occurs already in " +
                 std::string(Position.m_Array) + "[" +
                 std::to_string(Found->second) + "]; each is allowed once");
  }

  void checkPolicy() {
    const std::string &Strategy = m_Document.m_Policy.m_RouteStrategy;
    if (std::find(m_RouteStrategies.begin(), m_RouteStrategies.end(),
                  Strategy) != m_RouteStrategies.end())
      return;
    std::string Message = "\"" + Strategy + "\" is not allowed; allowed:";
    for (const std::string &KnownStrategy : m_RouteStrategies)
      Message += " \"" + KnownStrategy + "\"";
    m_Findings.push_back({"", 0, "policy.route_strategy", Message});
  }

  void checkPool(const Pool &Value, std::size_t Index) {
    EntityPosition Position{"pool", Index};
    requireIdentifier(Position, "name", Value.m_Name);
    requireUnique(m_PoolNames, Position, "name", Value.m_Name);
    requirePositive(Position, "queue_limit", Value.m_QueueLimit);
    requirePositive(Position, "request_timeout_ms",
                    Value.m_RequestTimeoutMillis);
    if (!std::isfinite(Value.m_RetryBudget) || Value.m_RetryBudget < 0 ||
        Value.m_RetryBudget > 1)
      report(Position, "retry_budget", "must be from 0 to 1");
    if (Value.m_Endpoints.empty())
      report(Position, "endpoint", "one endpoint or more is required");
    std::string Parent = "pool[" + std::to_string(Index) + "].";
    for (std::size_t EndpointIndex = 0;
         EndpointIndex < Value.m_Endpoints.size(); ++EndpointIndex)
      checkEndpoint(Value, Value.m_Endpoints[EndpointIndex],
                    {"endpoint", EndpointIndex, Parent});
  }

  void checkEndpoint(const Pool &Owner, const EndpointSpec &Value,
                     const EntityPosition &Position) {
    requireIdentifier(Position, "name", Value.m_Name);
    if (!m_EndpointNames.insert(Value.m_Name).second)
      report(Position, "name",
             "\"" + Value.m_Name +
                 "\" occurs already; each is allowed once in the document");
    if (!isSocketAddress(Value.m_Address))
      report(Position, "address", std::string(AddressRequirement));
    requireIdentifier(Position, "failure_domain", Value.m_FailureDomain);
    requirePositive(Position, "slots", Value.m_Slots);
    requirePositive(Position, "token_micros", Value.m_TokenMicros);
    const LayerRange &Layers = Value.m_Layers;
    if (Owner.m_Kind == PoolKind::Service &&
        (Layers.m_First != 0 || Layers.m_End != 0))
      report(Position, "end_layer",
             "endpoints of a service pool have no layers; leave out "
             "first_layer and end_layer");
    if (Owner.m_Kind == PoolKind::Engine && Layers.m_First >= Layers.m_End)
      report(Position, "end_layer", "must be above first_layer");
  }

  void checkPipeline(const Pipeline &Value, std::size_t Index) {
    EntityPosition Position{"pipeline", Index};
    if (!isPrintableName(Value.m_Name))
      report(Position, "name", std::string(PrintableNameRequirement));
    requireUnique(m_PipelineNames, Position, "name", Value.m_Name);
    requirePositive(Position, "max_tokens", Value.m_MaxTokens);
    bool HasLayers = Value.m_Layers > 0 && Value.m_Layers <= MaxLayers;
    if (!HasLayers)
      report(Position, "layers",
             "must be from 1 to " + std::to_string(MaxLayers));
    const Pool *Target = findPool(Value.m_Pool);
    if (!Target) {
      report(Position, "pool", unknownPoolMessage(Value.m_Pool));
      return;
    }
    if (Target->m_Kind != PoolKind::Engine) {
      report(Position, "pool",
             "\"" + Value.m_Pool +
                 "\" is a service pool; a pool of kind \"engine\" is required");
      return;
    }
    std::vector<LayerRange> Ranges;
    for (const EndpointSpec &Each : Target->m_Endpoints)
      Ranges.push_back(Each.m_Layers);
    if (HasLayers && !Ranges.empty() && !canCoverLayers(Ranges, Value.m_Layers))
      report(Position, "layers",
             "the layer ranges of pool \"" + Value.m_Pool +
                 "\" cannot cover [0, " + std::to_string(Value.m_Layers) +
                 ") without gaps or overlaps");
  }

  void checkRule(const IdempotencyRule &Value, std::size_t Index) {
    EntityPosition Position{"rule", Index};
    const Pool *Target = findPool(Value.m_Pool);
    if (!Target)
      report(Position, "pool", unknownPoolMessage(Value.m_Pool));
    else if (Target->m_Kind != PoolKind::Service)
      report(Position, "pool",
             "\"" + Value.m_Pool +
                 "\" is an engine pool; rules match calls of pools of kind "
                 "\"service\" only");
    bool IsMethod =
        !Value.m_Method.empty() &&
        std::all_of(Value.m_Method.begin(), Value.m_Method.end(),
                    [](char Each) { return Each >= 'A' && Each <= 'Z'; });
    if (!IsMethod && Value.m_Method != "*")
      report(Position, "method",
             "must be in upper-case letters, or \"*\" for any");
    if (Value.m_Path.empty() || Value.m_Path.front() != '/')
      report(Position, "path", "must begin with \"/\"");
    if (!m_Rules
             .insert(Value.m_Pool + "\n" + Value.m_Method + "\n" + Value.m_Path)
             .second)
      report(Position, "path",
             "a rule with this pool, method and path occurs already; the first "
             "one decides");
  }

  void checkLink(const Link &Value, std::size_t Index) {
    EntityPosition Position{"link", Index};
    requireIdentifier(Position, "from", Value.m_From);
    requireIdentifier(Position, "to", Value.m_To);
    if (!m_Links.insert(Value.m_From + "\n" + Value.m_To).second)
      report(Position, "to",
             "the link from \"" + Value.m_From + "\" to \"" + Value.m_To +
                 "\" occurs already; each is allowed once");
  }

  void checkAccount(const ClientAccount &Value, std::size_t Index) {
    EntityPosition Position{"account", Index};
    if (!isPrintableName(Value.m_Name))
      report(Position, "name", std::string(PrintableNameRequirement));
    requireUnique(m_AccountNames, Position, "name", Value.m_Name);
    requirePositive(Position, "share", Value.m_Share);
    requirePositive(Position, "requests_per_second", Value.m_RequestsPerSecond);
    requirePositive(Position, "max_outstanding", Value.m_MaxOutstanding);
    if (Value.m_KeySha256.empty())
      report(Position, "key_sha256", "one hash or more is required");
    for (const std::string &Hash : Value.m_KeySha256) {
      if (!isSha256Hex(Hash))
        report(Position, "key_sha256",
               "must be the SHA-256 of the key in 64 lower-case hexadecimal "
               "digits");
      requireUnique(m_KeyHashes, Position, "key_sha256", Hash);
    }
  }

  const Pool *findPool(std::string_view Name) const {
    auto Found = m_PoolNames.find(Name);
    return Found == m_PoolNames.end() ? nullptr
                                      : &m_Document.m_Pools[Found->second];
  }

  std::string unknownPoolMessage(const std::string &Name) const {
    std::string Message = "no pool has the name \"" + Name + "\"; pools:";
    if (m_Document.m_Pools.empty())
      return Message + " none";
    for (const Pool &Each : m_Document.m_Pools)
      Message += " \"" + Each.m_Name + "\"";
    return Message;
  }

  const Document &m_Document;
  const std::vector<std::string> &m_RouteStrategies;
  std::vector<Finding> m_Findings;
  std::size_t m_OmittedFindings = 0;
  NameIndex m_PoolNames;
  NameIndex m_PipelineNames;
  NameIndex m_AccountNames;
  NameIndex m_KeyHashes;
  std::unordered_set<std::string_view> m_EndpointNames;
  std::unordered_set<std::string> m_Rules;
  std::unordered_set<std::string> m_Links;
};

} // namespace

DocumentChecker::DocumentChecker() : m_RouteStrategies(routeStrategyNames()) {}

DocumentChecker::DocumentChecker(
    const std::vector<std::string> &RouteStrategies)
    : m_RouteStrategies(RouteStrategies) {}

std::vector<Finding> DocumentChecker::check(const Document &Value) const {
  return CheckRun(Value, m_RouteStrategies).run();
}

} // namespace parsleyring
