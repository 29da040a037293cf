#ifndef PARSLEYRING_DOCUMENT_DOCUMENTPARTS_H
#define PARSLEYRING_DOCUMENT_DOCUMENTPARTS_H

#include "document/DocumentReader.h"

namespace parsleyring {

/// One part of a document: canonical TOML text that is stored as one chunk.
struct DocumentPart {
  std::string m_Name; ///< "policy", "pools", "accounts-3f", ...
  std::string m_Text;
};

/// Accounts are distributed over this many parts, so that changing one account
/// rewrites only one part: about 22 KB at 33,000 accounts.
inline constexpr unsigned AccountBucketCount = 256;

/// Bucket of an account. The same in all processes, machines and releases.
unsigned accountBucket(std::string_view AccountName);
/// Name of the part that holds a bucket: "accounts-" and two hex digits.
std::string accountPartName(unsigned Bucket);
bool isAccountPart(std::string_view PartName);

/// The parts of a document in their order: policy, pipelines, pools, rules,
/// links, and the account buckets that are not empty. Their concatenated texts
/// are the document.
std::vector<DocumentPart> splitDocument(const Document &Value);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTPARTS_H
