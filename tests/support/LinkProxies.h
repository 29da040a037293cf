#ifndef PARSLEYRING_TESTS_SUPPORT_LINKPROXIES_H
#define PARSLEYRING_TESTS_SUPPORT_LINKPROXIES_H

#include "support/ProcessRunner.h"

#include <map>
#include <memory>

namespace parsleyring {

/// Fault proxy processes, identified by the names of their links.
class LinkProxies {
public:
  /// Starts a proxy that forwards to the address To; returns its own address.
  const std::string &add(const std::string &Link, const std::string &To);
  const std::string &address(const std::string &Link) const;
  std::vector<std::string> names() const;

  /// Faults is the JSON body of POST /admin/faults.
  void setFaults(const std::string &Link, const std::string &Faults) const;
  /// Discards the bytes of both directions; connections stay open.
  void dropTraffic(const std::string &Link) const;
  /// Discards only the bytes of connections opened by these processes.
  void dropTraffic(const std::string &Link,
                   const std::vector<pid_t> &Processes) const;
  /// Closes the existing connections and refuses new ones.
  void cut(const std::string &Link) const;
  /// Existing connections transfer nothing any more; new connections work.
  void freeze(const std::string &Link) const;
  /// Removes the faults of all links.
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
