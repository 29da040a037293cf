#ifndef PARSLEYRING_DOCUMENT_DOCUMENTPARTS_H
#define PARSLEYRING_DOCUMENT_DOCUMENTPARTS_H

#include "document/DocumentReader.h"

namespace parsleyring {

/// One part of a document: canonical TOML text that is stored as one chunk.
struct DocumentPart {
  std::string m_Name; ///< "policy", "pools", "accounts-3f", ...
  std::string m_Text;
};

/// Accounts are spread over this many parts, so that a change of one account
/// rewrites little. At 33,000 accounts a part has some 22 KB.
inline constexpr unsigned AccountBuckets = 256;

/// Bucket of an account. Stable over processes, machines and releases.
unsigned accountBucket(std::string_view AccountName);
/// Name of the part that holds a bucket: "accounts-" and two hex digits.
std::string accountPartName(unsigned Bucket);
bool isAccountPart(std::string_view PartName);

/// The parts of a document in their order: policy, pipelines, pools, rules,
/// links, and the account buckets that are not empty. The texts one after
/// another are the document.
std::vector<DocumentPart> splitDocument(const Document &Value);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTPARTS_H
