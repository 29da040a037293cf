#include "document/DocumentParts.h"

#include "document/DocumentWriter.h"

#include <xxhash.h>

#include <array>

namespace parsleyring {

static constexpr std::string_view AccountPartPrefix = "accounts-";

unsigned accountBucket(std::string_view AccountName) {
  return XXH64(AccountName.data(), AccountName.size(), 0) % AccountBucketCount;
}

std::string accountPartName(unsigned Bucket) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Name(AccountPartPrefix);
  Name += Digits[Bucket / 16];
  Name += Digits[Bucket % 16];
  return Name;
}

bool isAccountPart(std::string_view PartName) {
  return PartName.substr(0, AccountPartPrefix.size()) == AccountPartPrefix;
}

template <typename Content>
static void addPart(std::vector<DocumentPart> &Parts, const char *Name,
                    const Content &Values) {
  DocumentWriter Writer;
  Writer.writeAll(Values);
  if (!Writer.text().empty())
    Parts.push_back({Name, Writer.takeText()});
}

std::vector<DocumentPart> splitDocument(const Document &Value) {
  std::vector<DocumentPart> Parts;
  addPart(Parts, "policy", std::vector<Policy>{Value.m_Policy});
  addPart(Parts, "pipelines", Value.m_Pipelines);
  addPart(Parts, "pools", Value.m_Pools);
  addPart(Parts, "rules", Value.m_Rules);
  addPart(Parts, "links", Value.m_Links);
  std::array<DocumentWriter, AccountBucketCount> Buckets;
  for (const ClientAccount *Account : sortedAccounts(Value.m_Accounts))
    Buckets[accountBucket(Account->m_Name)].write(*Account);
  for (unsigned Bucket = 0; Bucket < AccountBucketCount; ++Bucket)
    if (!Buckets[Bucket].text().empty())
      Parts.push_back({accountPartName(Bucket), Buckets[Bucket].takeText()});
  return Parts;
}

} // namespace parsleyring
