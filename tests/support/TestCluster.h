#ifndef PARSLEYRING_TESTS_SUPPORT_TESTCLUSTER_H
#define PARSLEYRING_TESTS_SUPPORT_TESTCLUSTER_H

#include "parsleyring/Document.h"
#include "support/FreePort.h"
#include "support/HttpCalls.h"
#include "support/LinkProxies.h"
#include "support/ProcessRunner.h"
#include "support/TemporaryFile.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace parsleyring {

struct TestClusterOptions {
  unsigned m_Routers = 2;
  /// Routers that the constructor starts; the test starts the others.
  unsigned m_StartedRouters = ~0U;
  /// Puts a fault proxy in front of each endpoint (link "engine-a0", for all
  /// clients), and per router in front of the platform ("vm-0>platform") and of
  /// each peer ("vm-0>vm-1").
  bool m_HasLinkProxies = false;
  unsigned m_TokenMicros = 2000;
  unsigned m_Slots = 8;
  unsigned m_ServiceDelayMillis = 0;
  /// Additional flags by name of the emulator, for example "engine-a0".
  std::map<std::string, std::vector<std::string>> m_EmulatorFlags;
  /// Changes the document before it is published.
  std::function<void(Document &)> m_AdjustDocument;
  /// TOML that is appended to the settings of each router, for example
  /// "[limits]\ndrain_lead_ms = 0\n".
  std::string m_RouterSettings;
  /// Changes the settings of a router, for example the address of the platform.
  std::function<void(const std::string &Router, std::string &Settings)>
      m_AdjustRouterSettings;
};

/// Real processes on loopback: the platform, a pipeline "ledger" of 24 layers
/// over engines engine-a0, -a1, -a2 (fd-a) and engine-b0, -b1, -b2 (fd-b) of 8
/// layers each, a service pool "registry" of service-a and service-b, and
/// routers vm-0 (fd-a), vm-1 (fd-b), vm-2 (fd-a) and so on. The accounts are
/// those of clientAccounts().
class TestCluster {
public:
  /// Starts all processes and waits until the started routers are ready. Throws
  /// std::runtime_error with the output of a process that failed.
  explicit TestCluster(const TestClusterOptions &Options = {});
  ~TestCluster();

  /// Address of "platform", an endpoint or "vm-N" (the port for callers).
  const std::string &address(const std::string &Name) const;
  ProcessRunner &process(const std::string &Name);
  void startRouter(unsigned Index);
  /// Kills an engine or service and restarts it on the same address.
  void restartEndpoint(const std::string &Name);
  /// Standard output of the process of this name, including its earlier runs.
  std::string outputOf(const std::string &Name) const;
  void waitUntilReady(const std::string &Router);
  std::vector<std::string> routerNames() const;
  const LinkProxies &links() const { return m_Links; }
  /// Failure domain of a router or an endpoint.
  static std::string failureDomainOf(const std::string &Name);

  const Document &document() const { return m_Document; }
  /// Publishes the document as the next version.
  void publish(const Document &Next);

  /// Sends a request with the key of account "large".
  HttpAnswer send(const std::string &Name, HttpRequest Call) const;
  /// POST /v1/completions for the pipeline "ledger".
  HttpAnswer complete(const std::string &Router, const std::string &Prompt,
                      unsigned MaxTokens, bool IsStreamed = false) const;
  /// POST to the emulator; throws std::runtime_error unless it answers 200.
  void postAdmin(const std::string &Name, const std::string &Path,
                 const std::string &Body = "{}") const;
  /// GET /admin/counts of the emulator.
  nlohmann::json counts(const std::string &Name) const;
  /// Sum of a count over the engines, or over the services.
  std::uint64_t engineTotal(const std::string &Count) const;
  std::uint64_t serviceTotal(const std::string &Count) const;

  /// Value of a router's metric without labels, by its name without prefix;
  /// -1 if there is none.
  double metric(const std::string &Router, const std::string &Name) const;

  static const std::vector<std::string> &engineNames();
  static const std::vector<std::string> &serviceNames();

private:
  struct RouterFiles;

  std::string startEmulator(const std::string &Name,
                            std::vector<std::string> Arguments,
                            const std::string &Listen = "127.0.0.1:0");
  void startEndpoint(const std::string &Name, const std::string &Listen);
  void buildDocument();
  void startLinks();
  /// Address at which the router reaches "platform" or a peer.
  std::string addressFor(const std::string &Router,
                         const std::string &Target) const;
  std::string routerSettings(unsigned Index) const;
  std::uint64_t total(const std::vector<std::string> &Names,
                      const std::string &Count) const;

  TestClusterOptions m_Options;
  Document m_Document;
  std::uint64_t m_Version = 0;
  std::map<std::string, std::string> m_Addresses;
  std::map<std::string, std::unique_ptr<ProcessRunner>> m_Processes;
  /// Output of ended processes.
  std::map<std::string, std::string> m_EarlierOutput;
  LinkProxies m_Links;
  std::vector<std::unique_ptr<RouterFiles>> m_Routers;
};

/// "large" (key "key-large") with ample limits, "slow" (key "key-slow") with
/// one request per second, and "narrow" (key "key-narrow") with one
/// outstanding request.
std::vector<ClientAccount> clientAccounts();

/// Data of the server-sent events of a body, without the prefix "data: ".
std::vector<std::string> eventData(const std::string &Body);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_TESTCLUSTER_H
