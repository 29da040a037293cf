#ifndef PARSLEYRING_NODE_CONFIGURATIONINFORCE_H
#define PARSLEYRING_NODE_CONFIGURATIONINFORCE_H

#include "parsleyring/Document.h"

#include <memory>
#include <mutex>

namespace parsleyring {

/// The document in force, for the parts of the node outside the Router.
/// Thread-safe.
class ConfigurationInForce {
public:
  void set(Time Now, ConfigurationVersion Version,
           std::shared_ptr<const Document> Applied) {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_InForceSince = Now;
    m_Version = Version;
    m_Document = std::move(Applied);
  }

  /// 0 before the first configuration.
  ConfigurationVersion version() const {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    return m_Version;
  }

  /// Time since the version came into force; zero before the first one.
  Duration age(Time Now) const {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    return m_Version == 0 ? Duration::zero() : Now - m_InForceSince;
  }

  /// Null before the first configuration.
  std::shared_ptr<const Document> document() const {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    return m_Document;
  }

  /// Empty if no account of the document has the key.
  std::optional<std::string> accountName(const std::string &KeySha256) const;

  /// True if both keys belong to one account of the document.
  bool isSameAccount(const std::string &KeySha256,
                     const std::string &OtherKeySha256) const;

private:
  mutable std::mutex m_Mutex;
  Time m_InForceSince;
  ConfigurationVersion m_Version = 0;
  std::shared_ptr<const Document> m_Document;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_CONFIGURATIONINFORCE_H
