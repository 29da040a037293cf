#ifndef PARSLEYRING_DOCUMENT_DOCUMENTDIFFERENCE_H
#define PARSLEYRING_DOCUMENT_DOCUMENTDIFFERENCE_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// What a change from one document to another adds, removes and changes, one
/// readable line each, for example
/// "account \"a\": share 1 -> 2". Empty if the content is equal.
std::vector<std::string> documentDifference(const Document &From,
                                            const Document &To);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTDIFFERENCE_H
