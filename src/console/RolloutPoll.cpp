#include "console/RolloutPoll.h"

#include "core/SocketAddress.h"

#include <httplib.h>

#include <atomic>
#include <thread>

namespace parsleyring {

using std::chrono::steady_clock;

static constexpr std::chrono::milliseconds ConnectTimeout(500);
static constexpr std::chrono::milliseconds ReadTimeout(1000);
/// Time limit for all routers together. With 32 threads, 340 unreachable
/// routers take 5.5 s.
static constexpr std::chrono::seconds TotalTimeout(6);
static constexpr std::size_t MaxThreads = 32;
static constexpr std::size_t MaxMetricsBytes = 8 << 20;
static const std::string VersionGauge = "parsleyring_configuration_version ";
static const std::string AgeGauge = "parsleyring_configuration_age_seconds ";
static constexpr double MillisPerSecond = 1000;

static std::optional<double> gaugeInMetrics(const std::string &MetricsText,
                                            const std::string &Gauge) {
  std::size_t At = 0;
  if (MetricsText.compare(0, Gauge.size(), Gauge) != 0) {
    At = MetricsText.find("\n" + Gauge);
    if (At == std::string::npos)
      return std::nullopt;
    ++At;
  }
  // Gauges are written as floating-point numbers, large ones with an exponent.
  double Value = std::strtod(MetricsText.c_str() + At + Gauge.size(), nullptr);
  static constexpr double MaxExact = 9007199254740992.0; // 2^53
  if (!(Value >= 0 && Value <= MaxExact))
    return std::nullopt;
  return Value;
}

std::optional<ConfigurationVersion>
versionInMetrics(const std::string &MetricsText) {
  std::optional<double> Value = gaugeInMetrics(MetricsText, VersionGauge);
  if (!Value)
    return std::nullopt;
  return static_cast<ConfigurationVersion>(*Value);
}

static std::int64_t inForceSinceMillis(const std::string &MetricsText) {
  std::optional<double> Age = gaugeInMetrics(MetricsText, AgeGauge);
  if (!Age)
    return 0;
  auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return Now.count() - static_cast<std::int64_t>(*Age * MillisPerSecond);
}

static RouterVersion queryRouter(const RouterAddress &Router,
                                 steady_clock::time_point End) {
  std::optional<SocketAddress> Target = parseSocketAddress(Router.m_Address);
  if (!Target)
    return {0, "the address is malformed", 0};
  if (steady_clock::now() >= End)
    return {0, "not asked in time", 0};
  httplib::Client Client(Target->m_Host, Target->m_Port);
  Client.set_connection_timeout(ConnectTimeout);
  Client.set_read_timeout(ReadTimeout);
  Client.set_write_timeout(ReadTimeout);
  std::string Text;
  auto Answer = Client.Get("/metrics", [&](const char *Data, size_t Size) {
    Text.append(Data, Size);
    return Text.size() <= MaxMetricsBytes && steady_clock::now() < End;
  });
  if (!Answer)
    return {0, "no answer", 0};
  std::optional<ConfigurationVersion> Version = versionInMetrics(Text);
  if (Answer->status != 200 || !Version)
    return {0, "its metrics have no configuration version", 0};
  return {*Version, "", *Version ? inForceSinceMillis(Text) : 0};
}

std::vector<RouterVersion>
pollRouterVersions(const std::vector<RouterAddress> &Routers) {
  std::vector<RouterVersion> Results(Routers.size());
  std::atomic<std::size_t> Next{0};
  auto End = steady_clock::now() + TotalTimeout;
  auto Work = [&] {
    for (std::size_t At = Next++; At < Routers.size(); At = Next++)
      Results[At] = queryRouter(Routers[At], End);
  };
  std::vector<std::thread> Threads;
  for (std::size_t Count = 0; Count < std::min(MaxThreads, Routers.size());
       ++Count)
    Threads.emplace_back(Work);
  for (std::thread &Each : Threads)
    Each.join();
  return Results;
}

} // namespace parsleyring
