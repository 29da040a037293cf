#ifndef PARSLEYRING_TESTS_SUPPORT_CROWDTRIAL_H
#define PARSLEYRING_TESTS_SUPPORT_CROWDTRIAL_H

#include "support/ClientCrowd.h"
#include "support/GatewayTestServers.h"
#include "support/ProcessResources.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// A crowd of clients and one ordinary caller of a gateway process with low
/// limits. Its checks are those of CppUTest.
class CrowdTrial {
public:
  static constexpr std::size_t MaxBodyBytes = 1 << 20;

  CrowdTrial();

  /// Starts the process and waits until an ordinary request is answered.
  void start();
  /// Runs a crowd and checks the process during it, and after it has gone.
  void checkCrowd(const std::vector<CrowdPlan> &Plans);
  /// Runs a crowd and checks that the process stops by itself during it.
  void checkStop(const std::vector<CrowdPlan> &Plans);

  CrowdPlan stalledLargeChunks(unsigned Clients) const;
  CrowdPlan stalledSmallChunks(unsigned Clients) const;
  CrowdPlan announcedOversizedBody(unsigned Clients) const;
  CrowdPlan endlessBody(unsigned Clients) const;
  CrowdPlan endlessHead(unsigned Clients) const;
  CrowdPlan endlessChunkLine(unsigned Clients) const;
  CrowdPlan idleConnections(unsigned Clients) const;
  CrowdPlan halfHeads(unsigned Clients) const;
  CrowdPlan slowReaders(unsigned Clients) const;
  /// Idle connections to the listeners for the load balancer and other VMs.
  std::vector<CrowdPlan> idleAtOtherListeners(unsigned Clients) const;

private:
  CrowdPlan plan(unsigned Clients, const std::string &Fields) const;
  bool isOrdinaryRequestAnswered();
  /// Starts the monitor and the crowd, and waits until the crowd has acted.
  void startCrowd(const std::vector<CrowdPlan> &Plans);
  void checkBounds();

  FakeMetadataStore m_Store;
  FakeEndpoint m_Endpoint;
  std::unique_ptr<GatewayProcess> m_Gateway;
  std::unique_ptr<ProcessMonitor> m_Monitor;
  std::unique_ptr<ClientCrowd> m_Crowd;
  int m_Requests = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_CROWDTRIAL_H
