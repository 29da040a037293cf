#ifndef PARSLEYRING_TESTS_SUPPORT_LINKPROXIES_H
#define PARSLEYRING_TESTS_SUPPORT_LINKPROXIES_H

#include "support/ProcessRunner.h"

#include <map>
#include <memory>

namespace parsleyring {

/// Fault proxies, each by the name of its link.
class LinkProxies {
public:
  /// Starts a proxy and returns its address.
  const std::string &add(const std::string &Link, const std::string &To);
  const std::string &address(const std::string &Link) const;
  std::vector<std::string> names() const;

  /// Takes the JSON of POST /admin/faults.
  void setFaults(const std::string &Link, const std::string &Faults) const;
  /// Bytes disappear both ways.
  void silence(const std::string &Link) const;
  /// The same for the connections of these processes only.
  void silence(const std::string &Link,
               const std::vector<pid_t> &Processes) const;
  /// Connections are closed and refused.
  void cut(const std::string &Link) const;
  /// The connections that exist now stay silent, new ones work.
  void freeze(const std::string &Link) const;
  void heal() const;
  /// See TcpProxy::Replacement.
  void replace(const std::string &Link, const std::string &From,
               const std::string &To) const;

private:
  struct Proxy {
    std::unique_ptr<ProcessRunner> m_Process;
    std::string m_Address;
    std::string m_Admin;
  };

  void post(const std::string &Link, const std::string &Path,
            const std::string &Body) const;

  std::map<std::string, Proxy> m_Proxies;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_LINKPROXIES_H
