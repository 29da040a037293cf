#include "configuration/ConfigurationFollower.h"

#include <glog/logging.h>

#include <algorithm>

namespace parsleyring {

/// At the start many peers can be unreachable, and each query to one takes a
/// full timeout.
static constexpr std::size_t MaxStartThreads = 16;
/// Minimum interval of queries to one peer. The peer's heartbeats announce its
/// version every second, even if the peer cannot provide the configuration.
static constexpr Duration PeerQueryInterval = std::chrono::seconds(1);
/// Limits the rate of watch calls: a watch of an absent key can return at each
/// write of another key.
static constexpr Duration MinWatchInterval = std::chrono::milliseconds(200);
static constexpr Duration MinRetryDelay = std::chrono::milliseconds(250);
static constexpr Duration MaxRetryDelay = std::chrono::seconds(2);

static std::vector<std::string> startSources(const FollowerOptions &Options) {
  std::vector<std::string> Sources = Options.m_StartPeers;
  Sources.push_back(PlatformSource);
  return Sources;
}

ConfigurationFollower::ConfigurationFollower(FollowerOptions Options)
    : m_Options(std::move(Options)),
      m_State(m_Options.m_Now(), startSources(m_Options)),
      m_PeersToQuery(m_Options.m_StartPeers) {}

ConfigurationFollower::~ConfigurationFollower() { stop(); }

void ConfigurationFollower::start() {
  std::size_t QueryThreads = std::min(m_PeersToQuery.size(), MaxStartThreads);
  m_Threads.emplace_back([this] { runWorker(); });
  m_Threads.emplace_back([this] { watchPlatform(); });
  for (std::size_t Count = 0; Count < QueryThreads; ++Count)
    m_Threads.emplace_back([this] { queryStartPeers(); });
}

void ConfigurationFollower::stop() {
  {
    Lock Guard(m_Mutex);
    m_IsStopping = true;
  }
  m_Wakeup.notify_all();
  for (std::thread &Each : m_Threads)
    Each.join();
  m_Threads.clear();
}

bool ConfigurationFollower::isStopping() const {
  Lock Guard(m_Mutex);
  return m_IsStopping;
}

bool ConfigurationFollower::sleepFor(Duration Length) {
  Lock Guard(m_Mutex);
  auto End = std::chrono::steady_clock::now() + Length;
  while (!m_IsStopping &&
         m_Wakeup.wait_until(Guard, End) != std::cv_status::timeout)
    ;
  return !m_IsStopping;
}

void ConfigurationFollower::postAnswer(const std::string &Source,
                                       std::optional<std::string> HeadJson) {
  {
    Lock Guard(m_Mutex);
    m_Answers.push_back({Source, std::move(HeadJson)});
  }
  m_Wakeup.notify_all();
}

void ConfigurationFollower::noteAnnouncedVersion(const std::string &Peer,
                                                 ConfigurationVersion Version) {
  {
    Lock Guard(m_Mutex);
    m_AnnouncedVersions[Peer] = Version;
  }
  m_Wakeup.notify_all();
}

void ConfigurationFollower::watchPlatform() {
  std::uint64_t After = 0;
  Duration RetryDelay = MinRetryDelay;
  bool IsReachable = true;
  do {
    try {
      PlatformClient::WatchResult Result = m_Options.m_Platform->watch(
          ConfigurationHeadKey, After, m_Options.m_WatchWait);
      After = Result.m_Index;
      postAnswer(PlatformSource, Result.m_Value
                                     ? std::optional(Result.m_Value->m_Value)
                                     : std::nullopt);
      RetryDelay = MinRetryDelay;
      if (!IsReachable)
        LOG(INFO) << "platform is reachable again";
      IsReachable = true;
    } catch (const PlatformError &Error) {
      postAnswer(PlatformSource, std::nullopt);
      if (IsReachable && !isStopping())
        LOG(WARNING) << "platform is not reachable: " << Error.what();
      IsReachable = false;
      if (!sleepFor(RetryDelay))
        return;
      RetryDelay = std::min(RetryDelay * 2, MaxRetryDelay);
    }
  } while (sleepFor(MinWatchInterval));
}

void ConfigurationFollower::queryStartPeers() {
  while (true) {
    std::string Peer;
    {
      Lock Guard(m_Mutex);
      if (m_IsStopping || m_PeersToQuery.empty())
        return;
      Peer = std::move(m_PeersToQuery.back());
      m_PeersToQuery.pop_back();
    }
    postAnswer(Peer, m_Options.m_FetchHead(Peer));
  }
}

void ConfigurationFollower::runWorker() {
  while (true) {
    std::vector<Answer> Answers;
    std::map<std::string, ConfigurationVersion> Peers;
    {
      Lock Guard(m_Mutex);
      auto HasWork = [this] {
        return m_IsStopping || !m_Answers.empty() ||
               !m_AnnouncedVersions.empty();
      };
      Time Now = m_Options.m_Now();
      if (m_State.isWaitingForAnswers(Now))
        m_Wakeup.wait_for(Guard, m_State.startDeadline() - Now, HasWork);
      else
        m_Wakeup.wait(Guard, HasWork);
      if (m_IsStopping)
        return;
      Answers.swap(m_Answers);
      Peers.swap(m_AnnouncedVersions);
    }
    handleAnswers(std::move(Answers));
    queryNewerPeers(std::move(Peers));
    fetchCandidates();
    reportResults();
  }
}

void ConfigurationFollower::handleAnswers(std::vector<Answer> Answers) {
  for (const Answer &Each : Answers)
    m_State.handleHeadAnswer(m_Options.m_Now(), Each.m_Source, Each.m_HeadJson);
}

void ConfigurationFollower::queryNewerPeers(
    std::map<std::string, ConfigurationVersion> Peers) {
  // Newest version first: its answer usually makes the other queries
  // unnecessary.
  std::vector<std::pair<ConfigurationVersion, std::string>> Order;
  for (const auto &[Peer, Version] : Peers)
    Order.emplace_back(Version, Peer);
  std::sort(Order.rbegin(), Order.rend());
  for (const auto &[Version, Peer] : Order) {
    Time Now = m_Options.m_Now();
    const auto *Known = m_State.candidate(Now);
    if (Version <= m_State.version() ||
        (Known && Version <= Known->m_Head.m_Version))
      continue;
    auto LastQuery = m_LastQueryAt.find(Peer);
    if (LastQuery != m_LastQueryAt.end() &&
        Now < LastQuery->second + PeerQueryInterval)
      continue;
    m_LastQueryAt[Peer] = Now;
    m_State.handleHeadAnswer(Now, Peer, m_Options.m_FetchHead(Peer));
    if (isStopping())
      return;
  }
}

std::optional<std::string>
ConfigurationFollower::fetchChunk(const std::string &Source,
                                  const std::string &Sha256) const {
  if (Source != PlatformSource)
    return m_Options.m_FetchChunk(Source, Sha256);
  try {
    std::optional<PlatformValue> Value =
        m_Options.m_Platform->read(configurationChunkKey(Sha256));
    return Value ? std::optional(Value->m_Value) : std::nullopt;
  } catch (const PlatformError &) {
    return std::nullopt;
  }
}

bool ConfigurationFollower::fetchMissingChunks(
    const std::string &Source, const ConfigurationState::Candidate &Wanted) {
  while (true) {
    std::vector<std::string> Missing = m_State.missingChunks(Wanted);
    if (Missing.empty())
      return true;
    for (const std::string &Hash : Missing) {
      std::optional<std::string> Text = fetchChunk(Source, Hash);
      if (!Text || !m_State.addChunk(m_Options.m_Now(), Source, Hash, *Text) ||
          isStopping())
        return false;
    }
  }
}

void ConfigurationFollower::fetchCandidates() {
  while (const auto *Wanted = m_State.candidate(m_Options.m_Now())) {
    // Tries peers first, since the whole fleet shares the rate limit of the
    // platform.
    std::vector<std::string> Sources(Wanted->m_Sources.begin(),
                                     Wanted->m_Sources.end());
    std::stable_partition(
        Sources.begin(), Sources.end(),
        [](const std::string &Each) { return Each != PlatformSource; });
    bool IsComplete = std::any_of(
        Sources.begin(), Sources.end(), [&](const std::string &Source) {
          return !isStopping() && fetchMissingChunks(Source, *Wanted);
        });
    if (isStopping())
      return;
    if (!IsComplete)
      m_State.removeCandidate(*Wanted);
    else if (m_State.apply(m_Options.m_Now(), *Wanted))
      reportResults();
  }
}

void ConfigurationFollower::reportResults() {
  std::shared_ptr<const AppliedConfiguration> InForce = m_State.inForce();
  bool IsNew = false;
  {
    Lock Guard(m_Mutex);
    IsNew = m_Served != InForce;
    m_Served = InForce;
    m_Counters = m_State.counters();
  }
  for (const ConfigurationRejection &Each : m_State.takeRejections()) {
    LOG(WARNING) << "configuration from " << Each.m_Source
                 << " rejected: " << toString(Each.m_Findings.front())
                 << (Each.m_Findings.size() > 1 ? " and more" : "");
    if (m_Options.m_OnRejected)
      m_Options.m_OnRejected(Each);
  }
  if (!IsNew)
    return;
  LOG(INFO) << "configuration " << InForce->m_Head.m_Version << " is in force";
  m_Options.m_OnApplied(InForce->m_Head.m_Version, InForce->m_Document);
}

ConfigurationVersion ConfigurationFollower::version() const {
  Lock Guard(m_Mutex);
  return m_Served ? m_Served->m_Head.m_Version : 0;
}

std::string ConfigurationFollower::headJson() const {
  Lock Guard(m_Mutex);
  return m_Served ? m_Served->m_HeadJson : "";
}

std::string ConfigurationFollower::chunk(const std::string &Sha256) const {
  Lock Guard(m_Mutex);
  auto Text = m_Served ? m_Served->m_Chunks.find(Sha256) : nullptr;
  return Text ? *Text : "";
}

ConfigurationCounters ConfigurationFollower::counters() const {
  Lock Guard(m_Mutex);
  return m_Counters;
}

} // namespace parsleyring
