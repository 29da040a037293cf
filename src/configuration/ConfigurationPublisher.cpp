#include "configuration/ConfigurationPublisher.h"

#include "core/NameTable.h"
#include "core/TextChecks.h"

#include <set>

namespace parsleyring {

using Kind = PlatformError::Kind;

static constexpr int MaxAttempts = 6;
static constexpr Duration RetryDelay = std::chrono::milliseconds(250);
/// The platform limits values to 1 MB.
static constexpr std::size_t MaxChunkBytes = 1000000;
/// Number of earlier submissions listed in the head. A publisher reads back the
/// head within seconds of a lost answer; more publications rarely follow in
/// that time.
static constexpr std::size_t MaxEarlierSubmissions = 4;

static constexpr NameTable<PublicationStatus, 5> PublicationStatusNames{
    {"published", "conflict", "invalid", "not-published", "unknown"}};

std::string_view name(PublicationStatus Value) {
  return PublicationStatusNames.name(Value);
}

/// The head stored in the platform.
struct ConfigurationPublisher::CurrentHead {
  std::optional<ConfigurationHead> m_Head;
  std::uint64_t m_ModifyIndex = 0; ///< 0 if the key is absent.

  ConfigurationVersion version() const {
    return m_Head ? m_Head->m_Version : 0;
  }
};

ConfigurationPublisher::ConfigurationPublisher(
    PlatformClient &Platform, std::function<void(Duration)> Pause,
    const DocumentChecker &Checker)
    : m_Platform(Platform), m_Pause(std::move(Pause)), m_Checker(Checker) {}

/// Retries Attempt on PlatformError. Attempt must be idempotent.
template <typename Call>
auto ConfigurationPublisher::withRetries(Call Attempt) {
  for (int Count = 1;; ++Count) {
    try {
      return Attempt();
    } catch (const PlatformError &) {
      if (Count == MaxAttempts)
        throw;
    }
    m_Pause(RetryDelay);
  }
}

ConfigurationPublisher::CurrentHead ConfigurationPublisher::readHead() {
  return withRetries([this] {
    CurrentHead Current;
    std::optional<PlatformValue> Value = m_Platform.read(ConfigurationHeadKey);
    if (!Value)
      return Current;
    std::vector<Finding> Findings;
    Current.m_ModifyIndex = Value->m_ModifyIndex;
    Current.m_Head = ConfigurationHead::fromJson(ConfigurationHeadKey,
                                                 Value->m_Value, Findings);
    // The next version number cannot be derived from an invalid head.
    if (!Current.m_Head)
      throw PlatformError(Kind::NoEffect, toString(Findings.front()));
    return Current;
  });
}

bool ConfigurationPublisher::isSettled(const CurrentHead &Current,
                                       const Publication &Wanted,
                                       PublicationResult &Result) {
  auto Version = Current.m_Head ? Current.m_Head->versionOf(Wanted.m_Submission)
                                : std::nullopt;
  if (Version) {
    Result.m_Status = PublicationStatus::Published;
    Result.m_Version = *Version;
    return true;
  }
  if (Current.version() == Wanted.m_BaseVersion)
    return false;
  Result.m_Status = PublicationStatus::Conflict;
  Result.m_NewerHead = Current.m_Head;
  return true;
}

void ConfigurationPublisher::writeChunk(const std::string &Sha256,
                                        const std::string &Text) {
  std::string Key = configurationChunkKey(Sha256);
  // If the answer to an attempt was lost, the next attempt finds its own text.
  withRetries([&] {
    if (m_Platform.compareAndSwap(Key, Text, 0))
      return;
    std::optional<PlatformValue> Present = m_Platform.read(Key);
    if (Present && Present->m_Value == Text)
      return;
    if (!m_Platform.compareAndSwap(Key, Text,
                                   Present ? Present->m_ModifyIndex : 0))
      throw PlatformError(Kind::NoEffect, Key + " is changed by others");
  });
}

void ConfigurationPublisher::writeChunks(const EncodedDocument &Encoded,
                                         const CurrentHead &Current,
                                         bool IsRewrite) {
  // Skips chunks that the base version already has. If its account index cannot
  // be read, the account parts are all written.
  ChunkStore Base;
  std::set<std::string> Present;
  if (Current.m_Head && !IsRewrite) {
    for (const ChunkReference &Chunk : Current.m_Head->m_Chunks) {
      Present.insert(Chunk.m_Sha256);
      if (Chunk.m_Name != AccountIndexName)
        continue;
      auto Index = withRetries([&] {
        return m_Platform.read(configurationChunkKey(Chunk.m_Sha256));
      });
      if (Index)
        Base.add(Chunk.m_Sha256, Index->m_Value);
    }
    if (auto DocumentChunks = Base.documentChunks(*Current.m_Head))
      for (const ChunkReference &Chunk : *DocumentChunks)
        Present.insert(Chunk.m_Sha256);
  }
  for (const auto &[Sha256, Text] : Encoded.m_Chunks.texts())
    if (Present.count(Sha256) == 0)
      writeChunk(Sha256, *Text);
}

bool ConfigurationPublisher::swapHead(Time Now, const Publication &Wanted,
                                      const EncodedDocument &Encoded,
                                      const CurrentHead &Current) {
  ConfigurationHead Head;
  Head.m_Version = Current.version() + 1;
  Head.m_Chunks = Encoded.m_References;
  Head.m_Author = Wanted.m_Author;
  Head.m_Submission = Wanted.m_Submission;
  Head.m_PublishedAtMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch())
          .count();
  if (Current.m_Head) {
    Head.m_Earlier = Current.m_Head->m_Earlier;
    Head.m_Earlier.insert(
        Head.m_Earlier.begin(),
        {Current.m_Head->m_Version, Current.m_Head->m_Submission});
    if (Head.m_Earlier.size() > MaxEarlierSubmissions)
      Head.m_Earlier.resize(MaxEarlierSubmissions);
  }
  return m_Platform.compareAndSwap(ConfigurationHeadKey, Head.toJson(),
                                   Current.m_ModifyIndex);
}

std::vector<Finding>
ConfigurationPublisher::check(const Publication &Wanted,
                              const EncodedDocument &Encoded) {
  std::vector<Finding> Findings = m_Checker.check(Wanted.m_Document);
  if (!isIdentifier(Wanted.m_Submission))
    Findings.push_back(
        {"", 0, "submission", std::string(IdentifierRequirement)});
  for (const auto &[Sha256, Text] : Encoded.m_Chunks.texts())
    if (Text->size() > MaxChunkBytes)
      Findings.push_back({"", 0, "",
                          "a part of " + std::to_string(Text->size()) +
                              " bytes does not fit in a value of the platform; "
                              "allowed: " +
                              std::to_string(MaxChunkBytes)});
  // Builds the configuration as the nodes will: a text that they cannot parse,
  // for example because of invalid UTF-8, must not be published.
  ConfigurationHead Head;
  Head.m_Chunks = Encoded.m_References;
  if (Findings.empty())
    buildConfiguration(Head, "", Encoded.m_Chunks, lastLoaded().get(),
                       m_Checker, Findings);
  return Findings;
}

PublicationResult ConfigurationPublisher::publish(Time Now,
                                                  const Publication &Wanted) {
  PublicationResult Result;
  EncodedDocument Encoded = encodeDocument(Wanted.m_Document);
  Result.m_Findings = check(Wanted, Encoded);
  if (!Result.m_Findings.empty()) {
    Result.m_Status = PublicationStatus::Invalid;
    return Result;
  }
  bool MayHaveTakenEffect = false;
  try {
    CurrentHead Current = readHead();
    if (isSettled(Current, Wanted, Result))
      return Result;
    writeChunks(Encoded, Current, Wanted.m_RewritesAllChunks);
    for (int Count = 0; Count < MaxAttempts; ++Count) {
      try {
        if (swapHead(Now, Wanted, Encoded, Current)) {
          Result.m_Status = PublicationStatus::Published;
          Result.m_Version = Current.version() + 1;
          return Result;
        }
      } catch (const PlatformError &Error) {
        MayHaveTakenEffect =
            MayHaveTakenEffect || Error.kind() == Kind::Unknown;
        Result.m_Message = Error.what();
        m_Pause(RetryDelay);
      }
      // The head shows what took effect. An earlier write that is still in
      // flight and the next attempt expect the same index, so at most one of
      // them succeeds. If it is the earlier write, the next attempt finds it.
      Current = readHead();
      if (isSettled(Current, Wanted, Result))
        return Result;
    }
  } catch (const PlatformError &Error) {
    Result.m_Message = Error.what();
  }
  Result.m_Status = MayHaveTakenEffect ? PublicationStatus::Unknown
                                       : PublicationStatus::NotPublished;
  return Result;
}

std::shared_ptr<const AppliedConfiguration>
ConfigurationPublisher::lastLoaded() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Loaded;
}

LoadedConfiguration ConfigurationPublisher::load() {
  LoadedConfiguration Result;
  std::optional<PlatformValue> Value = m_Platform.read(ConfigurationHeadKey);
  if (!Value)
    return Result;
  auto Head = ConfigurationHead::fromJson(ConfigurationHeadKey, Value->m_Value,
                                          Result.m_Findings);
  if (!Head)
    return Result;
  Result.m_Version = Head->m_Version;
  std::shared_ptr<const AppliedConfiguration> Previous = lastLoaded();
  // Parsing and checking 33,000 accounts again would take 30 ms per console
  // page.
  if (Previous && Previous->m_HeadJson == Value->m_Value) {
    Result.m_Configuration = Previous;
    return Result;
  }
  ChunkStore Chunks = Previous ? Previous->m_Chunks : ChunkStore();
  for (auto Missing = Chunks.missing(*Head);
       !Missing.empty() && Result.m_Findings.empty();
       Missing = Chunks.missing(*Head))
    for (const std::string &Sha256 : Missing) {
      std::string Key = configurationChunkKey(Sha256);
      std::optional<PlatformValue> Text = m_Platform.read(Key);
      if (!Text || !Chunks.add(Sha256, Text->m_Value))
        Result.m_Findings.push_back(
            {Key, 0, "", Text ? "does not have this SHA-256" : "is absent"});
    }
  if (!Result.m_Findings.empty())
    return Result;
  Result.m_Configuration =
      buildConfiguration(*Head, Value->m_Value, Chunks, Previous.get(),
                         m_Checker, Result.m_Findings);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (Result.m_Configuration)
    m_Loaded = Result.m_Configuration;
  return Result;
}

} // namespace parsleyring
