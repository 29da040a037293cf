#include "parsleyring/Settings.h"

#include "core/ReadFile.h"
#include "core/TextChecks.h"
#include "core/TomlSection.h"

#include <set>

namespace parsleyring {

using Program = Settings::Program;

static constexpr std::size_t MinSessionSecretBytes = 32;
static constexpr std::size_t MinSaltHexDigits = 16;
static constexpr std::size_t PasswordHashHexDigits = 64;
static constexpr std::int64_t MinPasswordRounds = 1000;
static constexpr std::int64_t MaxPasswordRounds = 100000000;

/// A duration in the settings file: an integer number of units within limits.
struct DurationSetting {
  std::string_view m_Key;
  Duration Settings::*m_Member;
  Duration m_Unit;
  std::int64_t m_Min;
  std::int64_t m_Max;
};

static constexpr Duration Millisecond = std::chrono::milliseconds(1);
static constexpr Duration Second = std::chrono::seconds(1);

static const DurationSetting PlatformDurations[] = {
    {"timeout_ms", &Settings::m_PlatformTimeout, Millisecond, 10, 60000},
};

static const DurationSetting LimitDurations[] = {
    {"drain_lead_ms", &Settings::m_DrainLead, Millisecond, 0, 600000},
    {"claim_timeout_ms", &Settings::m_ClaimTimeout, Millisecond, 10, 60000},
    {"first_token_timeout_ms", &Settings::m_FirstTokenTimeout, Millisecond, 10,
     600000},
    {"answer_keep_seconds", &Settings::m_AnswerKeepTime, Second, 1, 86400},
    {"load_poll_interval_ms", &Settings::m_LoadPollInterval, Millisecond, 10,
     60000},
};

template <std::size_t Count>
static void readDurations(TomlSection &Table,
                          const DurationSetting (&Durations)[Count],
                          Settings &Result) {
  for (const DurationSetting &Setting : Durations) {
    std::int64_t Value = 0;
    if (Table.readInteger(Setting.m_Key, Value, Setting.m_Min, Setting.m_Max))
      Result.*Setting.m_Member = Value * Setting.m_Unit;
  }
}

static void readIdentifier(TomlSection &Table, std::string_view Key,
                           std::string &Value, Presence KeyPresence) {
  if (Table.readString(Key, Value, KeyPresence) && !isIdentifier(Value))
    Table.report(Key, std::string(IdentifierRequirement));
}

static void readAddress(TomlSection &Table, std::string_view Key,
                        std::string &Value, Presence KeyPresence,
                        PortZero PortZeroRule = PortZero::Refused) {
  if (Table.readString(Key, Value, KeyPresence) &&
      !isSocketAddress(Value, PortZeroRule))
    Table.report(Key, std::string(AddressRequirement));
}

static bool hasPortZero(std::string_view Address) {
  return Address.size() >= 2 && Address.substr(Address.size() - 2) == ":0";
}

static void readLimits(TomlSection Table, Settings &Result) {
  Table.readInteger("max_body_bytes", Result.m_MaxBodyBytes, 1, 64 << 20);
  Table.readInteger("max_connections", Result.m_MaxConnections, 1, 65535);
  Table.readInteger("answer_keep_bytes", Result.m_AnswerKeepBytes, 1024,
                    std::int64_t(4) << 30);
  readDurations(Table, LimitDurations, Result);
  Table.reportUnknownKeys();
}

static void readPeers(TomlSection &Root, Settings &Result) {
  std::set<std::string> Names;
  std::set<std::string> Addresses;
  for (TomlSection &Table : Root.sections("peer")) {
    PeerSeed Peer;
    readIdentifier(Table, "id", Peer.m_VM, Presence::Required);
    readAddress(Table, "address", Peer.m_Address, Presence::Required);
    readIdentifier(Table, "failure_domain", Peer.m_FailureDomain,
                   Presence::Required);
    Table.reportUnknownKeys();
    if (!Peer.m_VM.empty() && Peer.m_VM == Result.m_VM)
      Table.report("id", "is this VM itself; only other VMs are allowed");
    else if (!Peer.m_VM.empty() && !Names.insert(Peer.m_VM).second)
      Table.report("id", "occurs twice; each peer is allowed once");
    if (!Peer.m_Address.empty() && !Addresses.insert(Peer.m_Address).second)
      Table.report("address", "occurs twice; each peer is allowed once");
    Result.m_Peers.push_back(std::move(Peer));
  }
}

/// Accepts "pbkdf2-sha256$ROUNDS$SALT-HEX$HASH-HEX".
static bool isPasswordHash(const std::string &Text) {
  static constexpr std::string_view Prefix = "pbkdf2-sha256$";
  if (Text.compare(0, Prefix.size(), Prefix) != 0)
    return false;
  std::size_t SaltAt = Text.find('$', Prefix.size());
  if (SaltAt == std::string::npos)
    return false;
  std::size_t HashAt = Text.find('$', SaltAt + 1);
  if (HashAt == std::string::npos)
    return false;
  std::string Rounds = Text.substr(Prefix.size(), SaltAt - Prefix.size());
  if (Rounds.empty() || Rounds.size() > 9 ||
      Rounds.find_first_not_of("0123456789") != std::string::npos)
    return false;
  std::int64_t Count = std::stoll(Rounds);
  std::string Salt = Text.substr(SaltAt + 1, HashAt - SaltAt - 1);
  std::string Hash = Text.substr(HashAt + 1);
  return Count >= MinPasswordRounds && Count <= MaxPasswordRounds &&
         Salt.size() >= MinSaltHexDigits && isHex(Salt) &&
         Hash.size() == PasswordHashHexDigits && isHex(Hash);
}

static void readConsole(TomlSection Table, Settings &Result) {
  if (Table.readString("session_secret", Result.m_SessionSecret,
                       Presence::Required) &&
      Result.m_SessionSecret.size() < MinSessionSecretBytes)
    Table.report("session_secret", "must have " +
                                       std::to_string(MinSessionSecretBytes) +
                                       " bytes or more");
  std::set<std::string> Names;
  for (TomlSection &Entry : Table.sections("operator")) {
    OperatorLogin Login;
    readIdentifier(Entry, "name", Login.m_Name, Presence::Required);
    if (Entry.readString("password_hash", Login.m_PasswordHash,
                         Presence::Required) &&
        !isPasswordHash(Login.m_PasswordHash))
      Entry.report("password_hash",
                   "must be pbkdf2-sha256$ROUNDS$SALT-HEX$HASH-HEX with " +
                       std::to_string(MinPasswordRounds) +
                       " rounds or more, 8 bytes of salt or more and 32 bytes "
                       "of hash");
    Entry.reportUnknownKeys();
    if (!Login.m_Name.empty() && !Names.insert(Login.m_Name).second)
      Entry.report("name", "occurs twice; each operator is allowed once");
    Result.m_Operators.push_back(std::move(Login));
  }
  if (!Table.has("operator"))
    Table.report("operator", "one operator or more is required");
  Table.reportUnknownKeys();
}

static void readRouters(TomlSection &Root, Settings &Result) {
  std::set<std::string> Names;
  for (TomlSection &Table : Root.sections("router")) {
    RouterAddress Router;
    readIdentifier(Table, "vm", Router.m_VM, Presence::Required);
    readAddress(Table, "address", Router.m_Address, Presence::Required);
    Table.reportUnknownKeys();
    if (!Router.m_VM.empty() && !Names.insert(Router.m_VM).second)
      Table.report("vm", "occurs twice; each router is allowed once");
    Result.m_Routers.push_back(std::move(Router));
  }
}

static void readSettings(TomlSection Root, Program Reader, Settings &Result) {
  Presence RequiredForRouter =
      Reader == Program::Router ? Presence::Required : Presence::Optional;
  TomlSection VMSection = Root.section("vm");
  readIdentifier(VMSection, "id", Result.m_VM, RequiredForRouter);
  readIdentifier(VMSection, "failure_domain", Result.m_FailureDomain,
                 RequiredForRouter);
  VMSection.reportUnknownKeys();

  TomlSection Listen = Root.section("listen");
  readAddress(Listen, "callers", Result.m_CallerAddress, Presence::Required,
              PortZero::Allowed);
  readAddress(Listen, "peers", Result.m_PeerAddress, RequiredForRouter,
              PortZero::Allowed);
  if (Result.m_PeerAddress == Result.m_CallerAddress && Listen.has("peers") &&
      !hasPortZero(Result.m_PeerAddress))
    Listen.report("peers", "must differ from listen.callers");
  Listen.reportUnknownKeys();

  TomlSection Platform = Root.section("platform");
  readAddress(Platform, "address", Result.m_PlatformAddress,
              Presence::Required);
  readDurations(Platform, PlatformDurations, Result);
  Platform.reportUnknownKeys();

  readPeers(Root, Result);
  readLimits(Root.section("limits"), Result);

  TomlSection Audit = Root.section("audit");
  Audit.readBoolean("trace", Result.m_IsTraceEnabled);
  Audit.reportUnknownKeys();

  // The secrets of the console must not be stored on every router VM.
  if (Reader == Program::Console) {
    readConsole(Root.section("console"), Result);
    readRouters(Root, Result);
  } else if (Root.has("console")) {
    Root.report("console", "is allowed in the settings of the console only");
  }
  if (Reader == Program::Router)
    Root.section("console");
  Root.reportUnknownKeys();
}

Settings Settings::fromFile(const std::string &Path, Program Reader,
                            std::vector<Finding> &Findings) {
  Settings Result;
  std::optional<std::string> Text = readFile(Path, Findings);
  if (!Text)
    return Result;
  TomlText Parsed(Path, *Text, Findings);
  if (Parsed.isParsed())
    readSettings(Parsed.root(), Reader, Result);
  return Result;
}

} // namespace parsleyring
