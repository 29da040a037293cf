#ifndef PARSLEYRING_ROUTING_LEAVINGENDPOINTTABLE_H
#define PARSLEYRING_ROUTING_LEAVINGENDPOINTTABLE_H

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// Incarnations (processes) of endpoints, and which of them are leaving: they
/// finish their requests and take no new ones. Includes endpoints that no
/// configuration lists yet, since the notice that an endpoint leaves can come
/// before the configuration.
class LeavingEndpointTable {
public:
  /// Marks an incarnation as leaving; an empty one stands for the current
  /// incarnation. Returns false if it was marked before.
  bool setLeaving(const std::string &Endpoint, const std::string &Incarnation);
  /// A load report came from this incarnation. Returns true if the incarnation
  /// replaces another one.
  bool noteIncarnation(const std::string &Endpoint,
                       const std::string &Incarnation);
  bool isLeaving(const std::string &Endpoint) const;
  std::string incarnation(const std::string &Endpoint) const;

private:
  struct Entry {
    std::string m_CurrentIncarnation; ///< Empty before the first report.
    std::vector<std::string> m_LeavingIncarnations;
    bool isLeaving(const std::string &Incarnation) const;
  };

  std::map<std::string, Entry> m_Entries;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LEAVINGENDPOINTTABLE_H
