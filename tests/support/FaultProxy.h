#ifndef PARSLEYRING_TESTS_SUPPORT_FAULTPROXY_H
#define PARSLEYRING_TESTS_SUPPORT_FAULTPROXY_H

#include "support/ProcessRunner.h"

namespace parsleyring {

/// A proxy process that forwards TCP connections to Target and injects faults.
class FaultProxy {
public:
  explicit FaultProxy(const std::string &Target);

  const std::string &address() const { return m_Address; }
  /// Sets faults as defined by ProxyAdmin, for example "{\"cut\": true}".
  void setFaults(const std::string &Json) const;
  void heal() const;

private:
  void post(const std::string &Path, const std::string &Body) const;

  ProcessRunner m_Process;
  std::string m_Address;
  std::string m_Admin;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_FAULTPROXY_H
