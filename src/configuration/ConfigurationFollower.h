#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONFOLLOWER_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONFOLLOWER_H

#include "configuration/ConfigurationState.h"

#include "parsleyring/PlatformClient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace parsleyring {

/// Data sources and callbacks of a ConfigurationFollower.
struct FollowerOptions {
  /// Must outlive the follower. If the follower has its own HttpPlatformClient
  /// and the owner shuts that client down before stop(), stop() does not wait
  /// for a watch to end. A client timeout of 3 s still allows fetching chunks
  /// from a slow platform.
  PlatformClient *m_Platform = nullptr;
  /// Peers that are queried at the start.
  std::vector<std::string> m_StartPeers;
  /// Fetches the head of a peer; empty if the peer cannot be reached or has
  /// none. Must have a timeout.
  std::function<std::optional<std::string>(const std::string &Peer)>
      m_FetchHead;
  std::function<std::optional<std::string>(const std::string &Peer,
                                           const std::string &Sha256)>
      m_FetchChunk;
  /// Called when a configuration comes into force, from one thread and with
  /// increasing versions.
  std::function<void(ConfigurationVersion, std::shared_ptr<const Document>)>
      m_OnApplied;
  /// Called for each rejection; may be empty.
  std::function<void(const ConfigurationRejection &)> m_OnRejected;
  /// Must be monotonic.
  std::function<Time()> m_Now;
  Duration m_WatchWait = std::chrono::seconds(5);
};

/// Keeps the configuration in force up to date from the platform and from
/// peers, and provides its head and chunks for peers.
class ConfigurationFollower {
public:
  explicit ConfigurationFollower(FollowerOptions Options);
  ~ConfigurationFollower();

  void start();
  void stop();

  /// Notes that a peer announced this version. Does not block.
  void noteAnnouncedVersion(const std::string &Peer,
                            ConfigurationVersion Version);

  /// Served to peers; 0 or empty if no configuration is in force.
  ConfigurationVersion version() const;
  std::string headJson() const;
  std::string chunk(const std::string &Sha256) const;
  ConfigurationCounters counters() const;

private:
  using Lock = std::unique_lock<std::mutex>;
  struct Answer {
    std::string m_Source;
    std::optional<std::string> m_HeadJson;
  };

  void watchPlatform();
  void queryStartPeers();
  void runWorker();
  void handleAnswers(std::vector<Answer> Answers);
  void queryNewerPeers(std::map<std::string, ConfigurationVersion> Peers);
  void fetchCandidates();
  bool fetchMissingChunks(const std::string &Source,
                          const ConfigurationState::Candidate &Wanted);
  std::optional<std::string> fetchChunk(const std::string &Source,
                                        const std::string &Sha256) const;
  void reportResults();
  void postAnswer(const std::string &Source,
                  std::optional<std::string> HeadJson);
  /// Waits for Length; returns false if stop() was called.
  bool sleepFor(Duration Length);
  bool isStopping() const;

  const FollowerOptions m_Options;
  ConfigurationState m_State; ///< Used by the worker thread only.

  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::condition_variable m_Wakeup;
  std::vector<Answer> m_Answers;
  std::map<std::string, ConfigurationVersion> m_AnnouncedVersions;
  std::vector<std::string> m_PeersToQuery;
  std::shared_ptr<const AppliedConfiguration> m_Served;
  ConfigurationCounters m_Counters;
  bool m_IsStopping = false;

  /// Time of the last query to each peer; used by the worker thread only.
  std::map<std::string, Time> m_LastQueryAt;
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONFOLLOWER_H
