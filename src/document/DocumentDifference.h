#ifndef PARSLEYRING_DOCUMENT_DOCUMENTDIFFERENCE_H
#define PARSLEYRING_DOCUMENT_DOCUMENTDIFFERENCE_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// Lists what is added, removed and changed from one document to another, one
/// readable line each, for example "account \"a\": share 1 -> 2". Empty if the
/// content is equal.
std::vector<std::string> documentDifference(const Document &From,
                                            const Document &To);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTDIFFERENCE_H
