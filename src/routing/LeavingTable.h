#ifndef PARSLEYRING_ROUTING_LEAVINGTABLE_H
#define PARSLEYRING_ROUTING_LEAVINGTABLE_H

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// Incarnations of endpoints and which of them are leaving. Holds endpoints
/// that are in no configuration as well, since a sign can come before the
/// configuration that lists the endpoint.
class LeavingTable {
public:
  /// An empty incarnation stands for the current one. Returns false if it was
  /// known to be leaving.
  bool mark(const std::string &Endpoint, const std::string &Incarnation);
  /// A load report came from this incarnation. Returns true if it replaces
  /// another one.
  bool noteIncarnation(const std::string &Endpoint,
                       const std::string &Incarnation);
  bool isLeaving(const std::string &Endpoint) const;
  std::string incarnation(const std::string &Endpoint) const;

private:
  struct Entry {
    std::string m_Current; ///< Empty before the first report.
    std::vector<std::string> m_Leaving;
    bool isLeaving(const std::string &Incarnation) const;
  };

  std::map<std::string, Entry> m_Entries;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LEAVINGTABLE_H
