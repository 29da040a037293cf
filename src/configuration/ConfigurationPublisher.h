#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONPUBLISHER_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONPUBLISHER_H

#include "configuration/AppliedConfiguration.h"

#include "parsleyring/PlatformClient.h"

#include <functional>
#include <mutex>

namespace parsleyring {

struct Publication {
  Document m_Document;
  /// Version that the operator's changes are based on; 0: there was none.
  ConfigurationVersion m_BaseVersion = 0;
  std::string m_Author;
  /// Unique id of this change, in the form of isIdentifier(). Publishing it
  /// again has no second effect.
  std::string m_Submission;
  /// Writes the chunks of the base version anew as well, which repairs chunks
  /// that were changed by hand.
  bool m_RewritesAllChunks = false;
};

enum class PublicationStatus {
  Published,
  Conflict,     ///< The head is newer than the base version.
  Invalid,      ///< The document has findings.
  NotPublished, ///< The platform cannot be used; nothing took effect.
  Unknown,      ///< It may take effect; publish the same submission again.
};

std::string_view name(PublicationStatus Value);

struct PublicationResult {
  PublicationStatus m_Status = PublicationStatus::NotPublished;
  ConfigurationVersion m_Version = 0; ///< If published.
  /// On a conflict: the head that is newer; empty if it was removed.
  std::optional<ConfigurationHead> m_NewerHead;
  std::vector<Finding> m_Findings; ///< If invalid.
  std::string m_Message;           ///< If the platform could not be used.
};

/// What the platform holds.
struct LoadedConfiguration {
  /// Null if there is none, or if there are findings.
  std::shared_ptr<const AppliedConfiguration> m_Configuration;
  /// Version of the head, also if its document cannot be read.
  ConfigurationVersion m_Version = 0;
  std::vector<Finding> m_Findings;
};

/// Publishes documents through the platform. Safe to use from many threads;
/// publications of several processes are ordered by compare-and-swap.
class ConfigurationPublisher {
public:
  /// Platform must outlive the publisher. Pause waits between attempts.
  ConfigurationPublisher(PlatformClient &Platform,
                         std::function<void(Duration)> Pause,
                         const DocumentChecker &Checker = DocumentChecker());

  PublicationResult publish(Time Now, const Publication &Wanted);

  /// Reads head and chunks; chunks of the last load are not read again. Throws
  /// PlatformError.
  LoadedConfiguration load();

private:
  struct CurrentHead;

  std::vector<Finding> check(const Publication &Wanted,
                             const EncodedDocument &Encoded);
  std::shared_ptr<const AppliedConfiguration> lastLoaded();
  CurrentHead readHead();
  /// Sets Result if the head settles the publication.
  static bool isSettled(const CurrentHead &Current, const Publication &Wanted,
                        PublicationResult &Result);
  void writeChunk(const std::string &Sha256, const std::string &Text);
  void writeChunks(const EncodedDocument &Encoded, const CurrentHead &Current,
                   bool IsRewrite);
  bool swapHead(Time Now, const Publication &Wanted,
                const EncodedDocument &Encoded, const CurrentHead &Current);
  template <typename Call> auto retried(Call Attempt);

  PlatformClient &m_Platform;
  const std::function<void(Duration)> m_Pause;
  const DocumentChecker m_Checker;
  std::mutex m_Mutex; ///< Guards m_Loaded.
  std::shared_ptr<const AppliedConfiguration> m_Loaded;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONPUBLISHER_H
