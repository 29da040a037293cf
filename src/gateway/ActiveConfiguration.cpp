#include "gateway/ActiveConfiguration.h"

#include <algorithm>

namespace parsleyring {

// A VM that starts is not ready before these questions are answered.
static constexpr std::size_t QuestionsAtStart = 3;
static constexpr Duration QuestionTimeout = std::chrono::milliseconds(300);
static const std::string StoreSource = "store";

ActiveConfiguration::ActiveConfiguration(Dependencies Used,
                                         std::function<Time()> Now,
                                         AddressSource PeerAddresses,
                                         StateHandler OnStateAtStart)
    : m_Used(Used), m_Now(std::move(Now)),
      m_PeerAddresses(std::move(PeerAddresses)),
      m_OnStateAtStart(std::move(OnStateAtStart)),
      m_Random(std::random_device{}()) {}

void ActiveConfiguration::apply(const StoreItem &Item) {
  if (Item.m_Revision <= m_Revision)
    return;
  m_Revision = Item.m_Revision;
  offer(Item.m_Value, StoreSource);
}

bool ActiveConfiguration::offer(const std::string &Text,
                                const std::string &Source) {
  // Most peers have the same configuration, and a large one takes long to read.
  if (Source != StoreSource && Text == newest().m_Text)
    return true;
  std::string Finding;
  auto Table = m_Used.m_Records.parseConfiguration(Text, Finding);
  if (!Table) {
    m_Used.m_Log.write(m_Now(), "configuration-rejected", "",
                       {{"source", Source},
                        {"revision", std::int64_t(m_Revision)},
                        {"finding", Finding}});
    return false;
  }
  ConfigurationVersion Known = newest().version();
  if (Table->m_Version < Known) {
    m_Used.m_Log.write(m_Now(), "configuration-outdated", "",
                       {{"version", std::int64_t(Table->m_Version)},
                        {"source", Source},
                        {"revision", std::int64_t(m_Revision)},
                        {"configuration", std::int64_t(Known)}});
    return true;
  }
  take({std::move(Table), Text, Source});
  return true;
}

void ActiveConfiguration::take(Configuration Newer) {
  if (table()) {
    activate(std::move(Newer));
    return;
  }
  bool IsFirst = !m_First.m_Table;
  m_First = std::move(Newer);
  if (IsFirst)
    askPeersAtStart();
}

void ActiveConfiguration::activate(Configuration Newer) {
  m_InForce = std::move(Newer);
  std::optional<std::size_t> Accounts = table()->m_AccountCount;
  std::size_t Keys = table()->m_AccountsByKey.size();
  m_Used.m_Metrics.setConfigurationVersion(version());
  m_Used.m_Metrics.setConfigurationAccounts(Accounts, Keys);
  m_Used.m_Log.write(m_Now(), "configuration", "",
                     {{"version", std::int64_t(version())},
                      {"source", m_InForce.m_Source},
                      {"revision", std::int64_t(m_Revision)},
                      {"routes", std::int64_t(table()->routeCount())},
                      {"requires_key", std::int64_t(Accounts.has_value())},
                      {"accounts", std::int64_t(Accounts.value_or(0))},
                      {"keys", std::int64_t(Keys)}});
  if (table()->lacksKeys())
    m_Used.m_Log.write(m_Now(), "configuration-without-keys", "",
                       {{"version", std::int64_t(version())},
                        {"accounts", std::int64_t(Accounts.value_or(0))},
                        {"keys", std::int64_t(Keys)}});
}

void ActiveConfiguration::askPeersAtStart() {
  std::vector<std::string> Peers = m_PeerAddresses();
  std::shuffle(Peers.begin(), Peers.end(), m_Random);
  Peers.resize(std::min(Peers.size(), QuestionsAtStart));
  if (Peers.empty()) {
    activate(std::move(m_First));
    return;
  }
  auto Remaining = std::make_shared<std::size_t>(Peers.size());
  for (const std::string &Peer : Peers)
    ask(Peer, [this, Remaining](bool) {
      if (--*Remaining == 0)
        activate(std::move(m_First));
    });
}

void ActiveConfiguration::ask(const std::string &PeerAddress,
                              std::function<void(bool)> OnEnd) {
  ++m_OpenQuestions;
  m_Used.m_Client.call(
      PeerAddress, {"GET", PeerState::Target, ""}, QuestionTimeout,
      [this, PeerAddress, OnEnd = std::move(OnEnd)](const CallReply &Reply) {
        --m_OpenQuestions;
        std::optional<PeerState> State;
        if (Reply.isOk())
          State = PeerState::decode(Reply.m_Body);
        if (State && !table())
          m_OnStateAtStart(*State, PeerAddress);
        bool HasConfiguration = State && !State->m_Configuration.empty();
        OnEnd(!HasConfiguration || offer(State->m_Configuration, PeerAddress));
      });
}

void ActiveConfiguration::notePeerVersion(ConfigurationVersion Version,
                                          const std::string &PeerAddress) {
  if (Version <= version() || Version == m_UnreadableVersion ||
      m_OpenQuestions > 0 || PeerAddress.empty())
    return;
  ask(PeerAddress, [this, Version](bool IsValid) {
    if (!IsValid)
      m_UnreadableVersion = Version;
  });
}

} // namespace parsleyring
