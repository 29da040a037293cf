#include "configuration/ChunkStore.h"

#include "core/TextChecks.h"
#include "document/DocumentParts.h"

namespace parsleyring {

static constexpr std::string_view IndexSeparator = " = \"";
static constexpr std::string_view IndexLineEnd = "\"";

std::string writeAccountIndex(const std::vector<ChunkReference> &Chunks) {
  std::string Text;
  for (const ChunkReference &Chunk : Chunks) {
    Text += Chunk.m_Name;
    Text += IndexSeparator;
    Text += Chunk.m_Sha256;
    Text += IndexLineEnd;
    Text += '\n';
  }
  return Text;
}

std::optional<std::vector<ChunkReference>>
readAccountIndex(const std::string &Text) {
  std::vector<ChunkReference> Chunks;
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    std::string_view Line = Rest.substr(0, Rest.find('\n'));
    Rest.remove_prefix(std::min(Line.size() + 1, Rest.size()));
    std::size_t At = Line.find(IndexSeparator);
    if (At == std::string_view::npos || Line.substr(Line.size() - 1) != "\"")
      return std::nullopt;
    std::string_view Hash = Line.substr(At + IndexSeparator.size());
    Hash.remove_suffix(Hash.empty() ? 0 : IndexLineEnd.size());
    if (!isSha256Hex(Hash) || !isAccountPart(Line.substr(0, At)))
      return std::nullopt;
    Chunks.push_back({std::string(Line.substr(0, At)), std::string(Hash)});
  }
  return Chunks;
}

bool ChunkStore::add(const std::string &Sha256, const std::string &Text) {
  if (sha256Hex(Text) != Sha256)
    return false;
  m_Texts.emplace(Sha256, std::make_shared<const std::string>(Text));
  return true;
}

void ChunkStore::addAll(const ChunkStore &Other) {
  m_Texts.insert(Other.m_Texts.begin(), Other.m_Texts.end());
}

std::shared_ptr<const std::string>
ChunkStore::find(const std::string &Sha256) const {
  auto Found = m_Texts.find(Sha256);
  return Found == m_Texts.end() ? nullptr : Found->second;
}

std::optional<std::vector<ChunkReference>>
ChunkStore::documentChunks(const ConfigurationHead &Head) const {
  std::vector<ChunkReference> DocumentChunks;
  for (const ChunkReference &Chunk : Head.m_Chunks) {
    if (Chunk.m_Name != AccountIndexName) {
      DocumentChunks.push_back(Chunk);
      continue;
    }
    std::shared_ptr<const std::string> Index = find(Chunk.m_Sha256);
    auto Listed = Index ? readAccountIndex(*Index) : std::nullopt;
    if (!Listed)
      return std::nullopt;
    DocumentChunks.insert(DocumentChunks.end(), Listed->begin(), Listed->end());
  }
  return DocumentChunks;
}

std::vector<std::string>
ChunkStore::missing(const ConfigurationHead &Head) const {
  std::vector<std::string> Missing;
  for (const ChunkReference &Chunk : Head.m_Chunks)
    if (!find(Chunk.m_Sha256))
      Missing.push_back(Chunk.m_Sha256);
  if (!Missing.empty())
    return Missing;
  if (auto DocumentChunks = documentChunks(Head))
    for (const ChunkReference &Chunk : *DocumentChunks)
      if (!find(Chunk.m_Sha256))
        Missing.push_back(Chunk.m_Sha256);
  return Missing;
}

ChunkStore ChunkStore::subsetFor(const ConfigurationHead &Head) const {
  ChunkStore Subset;
  auto Keep = [&](const ChunkReference &Chunk) {
    if (std::shared_ptr<const std::string> Text = find(Chunk.m_Sha256))
      Subset.m_Texts.emplace(Chunk.m_Sha256, std::move(Text));
  };
  for (const ChunkReference &Chunk : Head.m_Chunks)
    Keep(Chunk);
  if (auto DocumentChunks = documentChunks(Head))
    for (const ChunkReference &Chunk : *DocumentChunks)
      Keep(Chunk);
  return Subset;
}

EncodedDocument encodeDocument(const Document &Value) {
  EncodedDocument Encoded;
  std::vector<ChunkReference> Accounts;
  auto Add = [&](const std::string &Name, const std::string &Text,
                 std::vector<ChunkReference> &References) {
    References.push_back({Name, sha256Hex(Text)});
    Encoded.m_Chunks.add(References.back().m_Sha256, Text);
  };
  for (const DocumentPart &Part : splitDocument(Value))
    Add(Part.m_Name, Part.m_Text,
        isAccountPart(Part.m_Name) ? Accounts : Encoded.m_References);
  // An empty index is omitted: peers treat an empty chunk text as absent.
  if (!Accounts.empty())
    Add(AccountIndexName, writeAccountIndex(Accounts), Encoded.m_References);
  return Encoded;
}

} // namespace parsleyring
