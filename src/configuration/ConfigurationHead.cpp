#include "configuration/ConfigurationHead.h"

#include "core/TextChecks.h"

#include <nlohmann/json.hpp>

#include <set>

namespace parsleyring {

using Json = nlohmann::json;

std::string configurationChunkKey(const std::string &Sha256) {
  return "config/chunks/" + Sha256;
}

std::optional<ConfigurationVersion>
ConfigurationHead::versionOf(const std::string &Submission) const {
  if (m_Submission == Submission)
    return m_Version;
  for (const EarlierSubmission &Each : m_Earlier)
    if (Each.m_Submission == Submission)
      return Each.m_Version;
  return std::nullopt;
}

std::string ConfigurationHead::toJson() const {
  Json Chunks = Json::array();
  for (const ChunkReference &Chunk : m_Chunks)
    Chunks.push_back({{"name", Chunk.m_Name}, {"sha256", Chunk.m_Sha256}});
  Json Earlier = Json::array();
  for (const EarlierSubmission &Each : m_Earlier)
    Earlier.push_back(
        {{"version", Each.m_Version}, {"submission", Each.m_Submission}});
  return Json{{"version", m_Version},
              {"chunks", Chunks},
              {"author", m_Author},
              {"submission", m_Submission},
              {"published_at_ms", m_PublishedAtMillis},
              {"earlier", Earlier}}
      // The author's name is external input; without this handler dump() throws
      // on invalid UTF-8.
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

namespace {

/// Parses one head. Ignores unknown keys, since a newer release may add some
/// during a rolling upgrade of the VMs.
class HeadReader {
public:
  HeadReader(const std::string &File, std::vector<Finding> &Findings)
      : m_File(File), m_Findings(Findings), m_InitialFindings(Findings.size()) {
  }

  std::optional<ConfigurationHead> read(const std::string &Text) {
    Json Root = Json::parse(Text, nullptr, false);
    if (!Root.is_object()) {
      report("", "must be a JSON object");
      return std::nullopt;
    }
    ConfigurationHead Head;
    Head.m_Version = version(Root, "version");
    Head.m_Author = text(Root, "author");
    Head.m_Submission = text(Root, "submission");
    const Json PublishedAt = Root.value("published_at_ms", Json());
    if (PublishedAt.is_number_integer())
      Head.m_PublishedAtMillis = PublishedAt.get<std::int64_t>();
    else
      report("published_at_ms", "must be an integer");
    readChunks(Root.value("chunks", Json()), Head);
    for (const Json &Each : Root.value("earlier", Json::array()))
      if (Each.is_object())
        Head.m_Earlier.push_back(
            {version(Each, "version"), text(Each, "submission")});
    if (m_Findings.size() != m_InitialFindings)
      return std::nullopt;
    return Head;
  }

private:
  void report(const std::string &Key, const std::string &Message) {
    m_Findings.push_back({m_File, 0, Key, Message});
  }

  ConfigurationVersion version(const Json &Object, const char *Key) {
    const Json Value = Object.value(Key, Json());
    if (Value.is_number_unsigned() && Value.get<ConfigurationVersion>() > 0)
      return Value.get<ConfigurationVersion>();
    report(Key, "must be an integer above 0");
    return 0;
  }

  std::string text(const Json &Object, const char *Key) {
    const Json Value = Object.value(Key, Json());
    if (Value.is_string())
      return Value.get<std::string>();
    report(Key, "must be a string");
    return "";
  }

  void readChunks(const Json &Chunks, ConfigurationHead &Head) {
    if (!Chunks.is_array() || Chunks.empty()) {
      report("chunks", "must be an array with one chunk or more");
      return;
    }
    std::set<std::string> Names;
    for (const Json &Each : Chunks) {
      if (!Each.is_object()) {
        report("chunks", "must be objects {name, sha256}");
        return;
      }
      ChunkReference Chunk{text(Each, "name"), text(Each, "sha256")};
      if (!isSha256Hex(Chunk.m_Sha256))
        report("chunks." + Chunk.m_Name, "sha256 must be a SHA-256 in hex");
      if (!Names.insert(Chunk.m_Name).second)
        report("chunks." + Chunk.m_Name, "occurs twice");
      Head.m_Chunks.push_back(std::move(Chunk));
    }
  }

  const std::string &m_File;
  std::vector<Finding> &m_Findings;
  const std::size_t m_InitialFindings;
};

} // namespace

std::optional<ConfigurationHead>
ConfigurationHead::fromJson(const std::string &File, const std::string &Text,
                            std::vector<Finding> &Findings) {
  return HeadReader(File, Findings).read(Text);
}

} // namespace parsleyring
