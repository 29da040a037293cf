#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONPUBLISHER_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONPUBLISHER_H

#include "configuration/AppliedConfiguration.h"

#include "parsleyring/PlatformClient.h"

#include <functional>
#include <mutex>

namespace parsleyring {

struct Publication {
  Document m_Document;
  /// Version that the operator's changes are based on; 0 if there was none.
  ConfigurationVersion m_BaseVersion = 0;
  std::string m_Author;
  /// Unique id of this publication, as checked by isIdentifier(). Publishing
  /// the same id again has no second effect.
  std::string m_Submission;
  /// Also rewrites the chunks that the base version already has, which repairs
  /// chunks that were changed by hand.
  bool m_RewritesAllChunks = false;
};

enum class PublicationStatus {
  Published,
  Conflict,     ///< The head's version is not the base version.
  Invalid,      ///< The document has findings.
  NotPublished, ///< The platform failed; nothing took effect.
  Unknown,      ///< May have taken effect; publish the same submission again.
};

std::string_view name(PublicationStatus Value);

struct PublicationResult {
  PublicationStatus m_Status = PublicationStatus::NotPublished;
  ConfigurationVersion m_Version = 0; ///< Set if published.
  /// On a conflict the current head; empty if there is none.
  std::optional<ConfigurationHead> m_NewerHead;
  std::vector<Finding> m_Findings; ///< Set if invalid.
  std::string m_Message;           ///< Last platform error.
};

/// The configuration stored in the platform.
struct LoadedConfiguration {
  /// Null if there is none, or if there are findings.
  std::shared_ptr<const AppliedConfiguration> m_Configuration;
  /// Version of the head, even if its document is invalid or a chunk is
  /// missing.
  ConfigurationVersion m_Version = 0;
  std::vector<Finding> m_Findings;
};

/// Publishes documents to the platform. Thread-safe; compare-and-swap orders
/// publications of several processes.
class ConfigurationPublisher {
public:
  /// Platform must outlive the publisher. Pause sleeps between attempts.
  ConfigurationPublisher(PlatformClient &Platform,
                         std::function<void(Duration)> Pause,
                         const DocumentChecker &Checker = DocumentChecker());

  PublicationResult publish(Time Now, const Publication &Wanted);

  /// Reads the head and its chunks; chunks of the last load are not read again.
  /// Throws PlatformError.
  LoadedConfiguration load();

private:
  struct CurrentHead;

  std::vector<Finding> check(const Publication &Wanted,
                             const EncodedDocument &Encoded);
  std::shared_ptr<const AppliedConfiguration> lastLoaded();
  CurrentHead readHead();
  /// Returns true and sets Result if the current head decides the publication's
  /// result.
  static bool isSettled(const CurrentHead &Current, const Publication &Wanted,
                        PublicationResult &Result);
  void writeChunk(const std::string &Sha256, const std::string &Text);
  void writeChunks(const EncodedDocument &Encoded, const CurrentHead &Current,
                   bool IsRewrite);
  bool swapHead(Time Now, const Publication &Wanted,
                const EncodedDocument &Encoded, const CurrentHead &Current);
  template <typename Call> auto withRetries(Call Attempt);

  PlatformClient &m_Platform;
  const std::function<void(Duration)> m_Pause;
  const DocumentChecker m_Checker;
  std::mutex m_Mutex; ///< Guards m_Loaded.
  std::shared_ptr<const AppliedConfiguration> m_Loaded;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONPUBLISHER_H
