#ifndef PARSLEYRING_CONFIGURATION_CHUNKSTORE_H
#define PARSLEYRING_CONFIGURATION_CHUNKSTORE_H

#include "configuration/ConfigurationHead.h"

#include <map>
#include <memory>

namespace parsleyring {

/// Name of the index chunk, which lists the chunks of the account parts, one
/// line NAME = "SHA256" each. The head does not list them itself: with 256 of
/// them the head has 26 KB, and each long poll that ends without a change
/// returns the head.
inline const std::string AccountIndexName = "accounts";

std::string writeAccountIndex(const std::vector<ChunkReference> &Chunks);
/// Returns an empty result if Text is not a valid index.
std::optional<std::vector<ChunkReference>>
readAccountIndex(const std::string &Text);

/// Chunk texts by their SHA-256. Copies share the texts.
class ChunkStore {
public:
  /// Returns false, and does not store Text, if Text does not have the hash.
  bool add(const std::string &Sha256, const std::string &Text);
  void addAll(const ChunkStore &Other);
  /// Returns null if the chunk is not in this store.
  std::shared_ptr<const std::string> find(const std::string &Sha256) const;

  /// Hashes of the head's chunks that are not in this store. Includes the
  /// account parts only once their index is in this store.
  std::vector<std::string> missing(const ConfigurationHead &Head) const;
  /// Chunks of the document parts in document order, without the index. Empty
  /// if the index is malformed or not in this store.
  std::optional<std::vector<ChunkReference>>
  documentChunks(const ConfigurationHead &Head) const;
  /// Returns a store with only the chunks that the head needs.
  ChunkStore subsetFor(const ConfigurationHead &Head) const;

  const std::map<std::string, std::shared_ptr<const std::string>> &
  texts() const {
    return m_Texts;
  }

private:
  std::map<std::string, std::shared_ptr<const std::string>> m_Texts;
};

struct Document;

/// A document as chunks: the references for the head, and all texts.
struct EncodedDocument {
  std::vector<ChunkReference> m_References;
  ChunkStore m_Chunks;
};

EncodedDocument encodeDocument(const Document &Value);

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CHUNKSTORE_H
