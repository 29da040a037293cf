#ifndef PARSLEYRING_DOCUMENT_H
#define PARSLEYRING_DOCUMENT_H

#include "parsleyring/Types.h"

#include <string>
#include <vector>

namespace parsleyring {

enum class Preference { Recovery, Throughput };
enum class PoolKind { Engine, Service };

std::string_view name(Preference Value);
std::string_view name(PoolKind Value);
std::optional<Preference> preferenceFromName(std::string_view Name);
std::optional<PoolKind> poolKindFromName(std::string_view Name);

/// Routing policy.
struct Policy {
  Preference m_Preference = Preference::Recovery;
  /// One of the names in routeStrategyNames().
  std::string m_RouteStrategy = "estimated-cost";
};

struct ClientAccount {
  std::string m_Name;
  /// Lower-case hex SHA-256 of each key; the keys themselves are not stored.
  std::vector<std::string> m_KeySha256;
  double m_Share = 1;                   ///< Weight in the fair queue.
  double m_RequestsPerSecond = 10;      ///< All VMs together.
  std::uint32_t m_MaxOutstanding = 100; ///< Requests; all VMs together.
};

/// A model, split by layers over the endpoints of a pool.
struct Pipeline {
  std::string m_Name;
  std::uint32_t m_Layers = 0;
  std::string m_Pool;
  std::uint32_t m_MaxTokens = 512; ///< Most tokens of one completion.
};

struct EndpointSpec {
  std::string m_Name; ///< Unique in the document.
  std::string m_Address;
  std::string m_FailureDomain;
  std::string m_Accelerator;
  LayerRange m_Layers;                ///< Empty range for plain services.
  std::uint32_t m_Slots = 8;          ///< Requests served concurrently.
  std::uint32_t m_TokenMicros = 1000; ///< Time per token without load, us.
};

/// Endpoints that share a queue, a retry budget and a time limit.
struct Pool {
  std::string m_Name;
  PoolKind m_Kind = PoolKind::Engine;
  std::uint32_t m_QueueLimit = 200;
  double m_RetryBudget = 0.1; ///< Retries allowed per request received.
  std::uint32_t m_RequestTimeoutMillis = 30000;
  std::vector<EndpointSpec> m_Endpoints;
};

/// States whether matching calls of a service pool may run twice.
struct IdempotencyRule {
  std::string m_Pool;
  std::string m_Method; ///< Upper case, or "*" for any.
  std::string m_Path;   ///< Path prefix below the pool; begins with "/".
  bool m_IsIdempotent = false;
};

/// Network latency between two failure domains.
struct Link {
  std::string m_From; ///< Failure domain.
  std::string m_To;
  std::uint32_t m_OneWayMicros = 0;
};

/// The configuration that operators publish through the console.
struct Document {
  Policy m_Policy;
  std::vector<ClientAccount> m_Accounts;
  std::vector<Pipeline> m_Pipelines;
  std::vector<Pool> m_Pools;
  std::vector<IdempotencyRule> m_Rules;
  std::vector<Link> m_Links;

  /// Null if the document has no such account, pipeline or pool.
  const ClientAccount *accountByKeyHash(std::string_view KeySha256) const;
  const Pipeline *pipeline(std::string_view Name) const;
  const Pool *pool(std::string_view Name) const;
  /// The first matching rule decides; true if none matches.
  bool isIdempotent(std::string_view Pool, std::string_view Method,
                    std::string_view Path) const;
};

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_H
