#ifndef PARSLEYRING_CONFIGURATION_CHUNKSTORE_H
#define PARSLEYRING_CONFIGURATION_CHUNKSTORE_H

#include "configuration/ConfigurationHead.h"

#include <map>
#include <memory>

namespace parsleyring {

/// Name of the chunk that lists the chunks of the account parts, one line
/// NAME = "SHA256" each. They are not in the head itself: with 256 of them the
/// head has 26 KB, and each long poll that ends without a change returns it.
inline const std::string AccountIndexName = "accounts";

std::string writeAccountIndex(const std::vector<ChunkReference> &Chunks);
/// Empty if Text is not an index.
std::optional<std::vector<ChunkReference>>
readAccountIndex(const std::string &Text);

/// Texts by their hash. Copies share the texts.
class ChunkStore {
public:
  /// False if Text does not have the hash; it is then not kept.
  bool add(const std::string &Sha256, const std::string &Text);
  void addAll(const ChunkStore &Other);
  /// Null if it is not here.
  std::shared_ptr<const std::string> find(const std::string &Sha256) const;

  /// Hashes that the head needs and that are not here. Chunks of the account
  /// index are listed once the index is here.
  std::vector<std::string> missing(const ConfigurationHead &Head) const;
  /// The chunks of the document in its order, without the index. Empty if the
  /// index is malformed. Requires that no chunk is missing.
  std::optional<std::vector<ChunkReference>>
  leaves(const ConfigurationHead &Head) const;
  /// Only the chunks that the head needs.
  ChunkStore reducedTo(const ConfigurationHead &Head) const;

  const std::map<std::string, std::shared_ptr<const std::string>> &
  texts() const {
    return m_Texts;
  }

private:
  std::map<std::string, std::shared_ptr<const std::string>> m_Texts;
};

struct Document;

/// Chunks of a document: the references for the head, and all texts.
struct EncodedDocument {
  std::vector<ChunkReference> m_References;
  ChunkStore m_Chunks;
};

EncodedDocument encodeDocument(const Document &Value);

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CHUNKSTORE_H
