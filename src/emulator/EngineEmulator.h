#ifndef PARSLEYRING_EMULATOR_ENGINEEMULATOR_H
#define PARSLEYRING_EMULATOR_ENGINEEMULATOR_H

#include "emulator/DrainState.h"
#include "emulator/EngineBatch.h"
#include "emulator/EngineCounts.h"
#include "emulator/HttpClientPool.h"
#include "emulator/HttpServer.h"
#include "emulator/PrefixCache.h"
#include "parsleyring/Types.h"

#include <atomic>

namespace parsleyring {

/// Fault of an engine: its layers are skipped, run twice or run out of order.
enum class HopFault { None, Skip, Repeat, Reorder };

std::optional<HopFault> hopFaultFromName(std::string_view Name);

struct EngineOptions {
  std::string m_Listen;
  std::string m_Endpoint;
  LayerRange m_Layers;
  std::uint32_t m_TokenMicros = 1000;
  std::uint32_t m_Slots = 8;
  std::uint32_t m_CacheEntries = 256;
  std::uint32_t m_ReportLagMillis = 0;
  bool m_IgnoresFencing = false;
  HopFault m_HopFault = HopFault::None;
  /// First position of a token that has m_HopFault.
  std::uint32_t m_FirstFaultyPosition = 0;
};

/// Emulates an engine server that holds a range of layers. The stage that
/// receives a request forwards each of its tokens through the later stages.
///
/// POST /admin/drain makes the engine refuse new work, /admin/freeze makes the
/// existing connections silent, and /admin/order takes {fencing_token}. GET
/// /admin/counts?request=ID returns EngineCounts::json().
class EngineEmulator {
public:
  explicit EngineEmulator(const EngineOptions &Options);
  ~EngineEmulator();
  void run();

private:
  struct StageRequest;
  struct TokenResult;

  void respond(const EmulatorCall &Call, HttpReply &Reply);
  void respondCompletion(const EmulatorCall &Call, HttpReply &Reply);
  void respondForward(const EmulatorCall &Call, HttpReply &Reply);
  void respondLoad(HttpReply &Reply);
  void respondOrder(const EmulatorCall &Call, HttpReply &Reply);

  /// Opens the request at this stage and the later ones. If one of them
  /// refuses, puts the refusal into Reply and returns false.
  bool openStages(const StageRequest &Request, HttpReply &Reply);
  void closeStages(const StageRequest &Request);
  bool streamTokens(StageRequest &Request, HttpBodyWriter &Out);
  /// Empty if a later stage failed.
  std::optional<TokenResult> computeToken(StageRequest &Request,
                                          std::uint32_t Position,
                                          std::vector<Hop> Hops);
  void computeLayers(StageRequest &Request, std::uint32_t Position);
  void refuse(HttpReply &Reply, int Status, const std::string &Code,
              const std::string &Message);

  const EngineOptions m_Options;
  const std::string m_Incarnation;
  const Hop m_OwnHop;
  EngineBatch m_Batch;
  DrainState m_DrainState;
  EngineCounts m_Counts;
  PrefixCache m_PrefixCache;
  HttpClientPool m_Clients;
  std::atomic<std::uint64_t> m_NextAttemptNumber{0};
  std::mutex m_OrderMutex;
  std::uint64_t m_FencingToken = 0;
  HttpServer m_Server;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_ENGINEEMULATOR_H
