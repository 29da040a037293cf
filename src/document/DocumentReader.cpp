#include "document/DocumentReader.h"

#include "core/TomlSection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace parsleyring {

static constexpr std::array<std::string_view, 5> ArrayNames{
    "account", "pipeline", "pool", "rule", "link"};

/// Reads an enumerator by name. The finding about an unknown name lists the
/// allowed names.
template <typename Enum>
static void readEnum(TomlSection &Table, std::string_view Key, Enum &Value,
                     std::optional<Enum> (*FromName)(std::string_view),
                     std::initializer_list<Enum> Allowed) {
  std::string Text;
  if (!Table.readString(Key, Text))
    return;
  if (std::optional<Enum> ParsedValue = FromName(Text)) {
    Value = *ParsedValue;
    return;
  }
  std::string Message = "is not allowed; allowed:";
  for (Enum Candidate : Allowed)
    Message += " \"" + std::string(name(Candidate)) + "\"";
  Table.report(Key, Message);
}

static void readPolicy(TomlSection Table, Policy &Value) {
  readEnum(Table, "preference", Value.m_Preference, preferenceFromName,
           {Preference::Recovery, Preference::Throughput});
  Table.readString("route_strategy", Value.m_RouteStrategy);
  Table.reportUnknownKeys();
}

static ClientAccount readAccount(TomlSection &Table) {
  ClientAccount Value;
  Table.readString("name", Value.m_Name, Presence::Required);
  Table.readStrings("key_sha256", Value.m_KeySha256, Presence::Required);
  Table.readNumber("share", Value.m_Share);
  Table.readNumber("requests_per_second", Value.m_RequestsPerSecond);
  Table.readInteger("max_outstanding", Value.m_MaxOutstanding);
  return Value;
}

static Pipeline readPipeline(TomlSection &Table) {
  Pipeline Value;
  Table.readString("name", Value.m_Name, Presence::Required);
  Table.readInteger("layers", Value.m_Layers, 1, UINT32_MAX,
                    Presence::Required);
  Table.readString("pool", Value.m_Pool, Presence::Required);
  Table.readInteger("max_tokens", Value.m_MaxTokens);
  return Value;
}

static EndpointSpec readEndpoint(TomlSection &Table) {
  EndpointSpec Value;
  Table.readString("name", Value.m_Name, Presence::Required);
  Table.readString("address", Value.m_Address, Presence::Required);
  Table.readString("failure_domain", Value.m_FailureDomain, Presence::Required);
  Table.readString("accelerator", Value.m_Accelerator);
  Table.readInteger("first_layer", Value.m_Layers.m_First);
  Table.readInteger("end_layer", Value.m_Layers.m_End);
  Table.readInteger("slots", Value.m_Slots);
  Table.readInteger("token_micros", Value.m_TokenMicros);
  return Value;
}

/// Appends the entities of the array of tables at Key.
template <typename Entity>
static void readEach(TomlSection &Parent, std::string_view Key,
                     Entity (*Read)(TomlSection &),
                     std::vector<Entity> &Entities) {
  for (TomlSection &Table : Parent.sections(Key)) {
    Entities.push_back(Read(Table));
    Table.reportUnknownKeys();
  }
}

static Pool readPool(TomlSection &Table) {
  Pool Value;
  Table.readString("name", Value.m_Name, Presence::Required);
  readEnum(Table, "kind", Value.m_Kind, poolKindFromName,
           {PoolKind::Engine, PoolKind::Service});
  Table.readInteger("queue_limit", Value.m_QueueLimit);
  Table.readNumber("retry_budget", Value.m_RetryBudget);
  Table.readInteger("request_timeout_ms", Value.m_RequestTimeoutMillis);
  readEach(Table, "endpoint", readEndpoint, Value.m_Endpoints);
  return Value;
}

static IdempotencyRule readRule(TomlSection &Table) {
  IdempotencyRule Value;
  Table.readString("pool", Value.m_Pool, Presence::Required);
  Table.readString("method", Value.m_Method, Presence::Required);
  Table.readString("path", Value.m_Path, Presence::Required);
  Table.readBoolean("idempotent", Value.m_IsIdempotent);
  return Value;
}

static Link readLink(TomlSection &Table) {
  Link Value;
  Table.readString("from", Value.m_From, Presence::Required);
  Table.readString("to", Value.m_To, Presence::Required);
  Table.readInteger("one_way_micros", Value.m_OneWayMicros, 0, UINT32_MAX,
                    Presence::Required);
  return Value;
}

std::vector<std::size_t> DocumentReader::entityCounts() const {
  // In the order of ArrayNames.
  return {m_Document.m_Accounts.size(), m_Document.m_Pipelines.size(),
          m_Document.m_Pools.size(), m_Document.m_Rules.size(),
          m_Document.m_Links.size()};
}

void DocumentReader::read(const std::string &File, std::string_view Text,
                          std::vector<Finding> &Findings, ReadTables Tables) {
  m_Sources.push_back({File, Text, entityCounts()});
  TomlText Parsed(File, Text, Findings);
  if (!Parsed.isParsed()) {
    m_HasSyntaxError = true;
    return;
  }
  TomlSection Root = Parsed.root();
  (this->*Tables)(Root);
  Root.reportUnknownKeys();
}

void DocumentReader::readAllTables(TomlSection &Root) {
  bool HasPolicy = Root.has("policy");
  TomlSection PolicyTable = Root.section("policy");
  if (HasPolicy && m_HasPolicy)
    Root.report("policy", "occurs in another part already");
  else if (HasPolicy)
    readPolicy(PolicyTable, m_Document.m_Policy);
  m_HasPolicy = m_HasPolicy || HasPolicy;
  readEach(Root, "pipeline", readPipeline, m_Document.m_Pipelines);
  readEach(Root, "pool", readPool, m_Document.m_Pools);
  readEach(Root, "rule", readRule, m_Document.m_Rules);
  readEach(Root, "link", readLink, m_Document.m_Links);
  readAccountTables(Root);
}

void DocumentReader::readAccountTables(TomlSection &Root) {
  readEach(Root, "account", readAccount, m_Document.m_Accounts);
}

void DocumentReader::add(const std::string &File, std::string_view Text,
                         std::vector<Finding> &Findings) {
  read(File, Text, Findings, &DocumentReader::readAllTables);
}

void DocumentReader::addAccounts(const std::string &File, std::string_view Text,
                                 std::vector<Finding> &Findings) {
  read(File, Text, Findings, &DocumentReader::readAccountTables);
}

void DocumentReader::addKnownAccounts(const std::string &File,
                                      std::string_view Text,
                                      const ClientAccount *Begin,
                                      const ClientAccount *End) {
  m_Sources.push_back({File, Text, entityCounts()});
  m_Document.m_Accounts.insert(m_Document.m_Accounts.end(), Begin, End);
}

const DocumentReader::Source *
DocumentReader::findSource(std::string_view Array, std::size_t &Index) const {
  for (std::size_t Kind = 0; Kind < ArrayNames.size(); ++Kind) {
    if (ArrayNames[Kind] != Array)
      continue;
    for (auto Found = m_Sources.rbegin(); Found != m_Sources.rend(); ++Found)
      if (Found->m_EntitiesBefore[Kind] <= Index) {
        Index -= Found->m_EntitiesBefore[Kind];
        return &*Found;
      }
  }
  return nullptr;
}

void DocumentReader::locate(std::vector<Finding> &Findings) const {
  const Source *ParsedSource = nullptr;
  std::unique_ptr<TomlText> Parsed;
  std::vector<Finding> Ignored;
  for (Finding &Each : Findings) {
    if (!Each.m_File.empty() || m_Sources.empty())
      continue;
    std::string_view Key = Each.m_Key;
    std::size_t Open = Key.find('[');
    std::size_t Close = Key.find(']');
    const Source *From = &m_Sources.front();
    std::string Local(Key);
    if (Close != std::string_view::npos && Open < Close) {
      std::size_t Index = 0;
      std::from_chars(Key.data() + Open + 1, Key.data() + Close, Index);
      From = findSource(Key.substr(0, Open), Index);
      if (!From)
        continue;
      Local = std::string(Key.substr(0, Open)) + "[" + std::to_string(Index) +
              std::string(Key.substr(Close));
    }
    if (From != ParsedSource)
      Parsed = std::make_unique<TomlText>(From->m_File, From->m_Text, Ignored);
    ParsedSource = From;
    Each.m_File = From->m_File;
    Each.m_Line = Parsed->line(Local);
    Each.m_Key = std::move(Local);
  }
}

void DocumentReader::check(const DocumentChecker &Checker,
                           std::vector<Finding> &Findings) const {
  if (m_HasSyntaxError)
    return;
  std::vector<Finding> Found = Checker.check(m_Document);
  locate(Found);
  std::size_t ReportedCount = Findings.size();
  for (Finding &Each : Found) {
    bool IsReported = std::any_of(
        Findings.begin(), Findings.begin() + ReportedCount,
        [&](const Finding &Reported) {
          return Reported.m_Key == Each.m_Key && Reported.m_File == Each.m_File;
        });
    if (!IsReported)
      Findings.push_back(std::move(Each));
  }
}

} // namespace parsleyring
