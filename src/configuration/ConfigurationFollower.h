#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONFOLLOWER_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONFOLLOWER_H

#include "configuration/ConfigurationState.h"

#include "parsleyring/PlatformClient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace parsleyring {

/// What a ConfigurationFollower asks for, and whom it tells.
struct FollowerOptions {
  /// Must outlive the follower. If it is an HttpPlatformClient of its own and
  /// is shut down before stop(), stop() does not wait for the end of a watch.
  /// With a timeout of 3 s it still gets chunks from a slow platform.
  PlatformClient *m_Platform = nullptr;
  /// Peers that are asked at the start.
  std::vector<std::string> m_StartPeers;
  /// Empty if the peer cannot be reached or has none. Must have a timeout.
  std::function<std::optional<std::string>(const std::string &Peer)>
      m_FetchHead;
  std::function<std::optional<std::string>(const std::string &Peer,
                                           const std::string &Sha256)>
      m_FetchChunk;
  /// Called from one thread, with increasing versions.
  std::function<void(ConfigurationVersion, std::shared_ptr<const Document>)>
      m_OnApplied;
  /// May be empty.
  std::function<void(const ConfigurationRejection &)> m_OnRejected;
  /// Never goes back.
  std::function<Time()> m_Now;
  Duration m_WatchWait = std::chrono::seconds(5);
};

/// Keeps the configuration in force up to date from the platform and from
/// peers, and serves it to peers.
class ConfigurationFollower {
public:
  explicit ConfigurationFollower(FollowerOptions Options);
  ~ConfigurationFollower();

  void start();
  void stop();

  /// A peer said that it has this version. Does not block.
  void noteNewer(const std::string &Peer, ConfigurationVersion Version);

  /// For peers; the texts are empty if there is none.
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
  void askStartPeers();
  void work();
  void handleAnswers(std::vector<Answer> Answers);
  void askNewerPeers(std::map<std::string, ConfigurationVersion> Peers);
  void fetchCandidates();
  bool fetchFrom(const std::string &Source,
                 const ConfigurationState::Candidate &Wanted);
  std::optional<std::string> fetchChunk(const std::string &Source,
                                        const std::string &Sha256) const;
  void publishResults();
  void post(const std::string &Source, std::optional<std::string> HeadJson);
  /// False if stop() was called.
  bool pause(Duration Length);
  bool isStopping() const;

  const FollowerOptions m_Options;
  ConfigurationState m_State; ///< Used by the worker only.

  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::condition_variable m_Wakeup;
  std::vector<Answer> m_Answers;
  std::map<std::string, ConfigurationVersion> m_NewerPeers;
  std::vector<std::string> m_PeersToAsk;
  std::shared_ptr<const AppliedConfiguration> m_Served;
  ConfigurationCounters m_Counters;
  bool m_IsStopping = false;

  /// When each peer was last asked; used by the worker only.
  std::map<std::string, Time> m_AskedAt;
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONFOLLOWER_H
