#ifndef PARSLEYRING_TESTS_SUPPORT_SAMPLEDOCUMENT_H
#define PARSLEYRING_TESTS_SUPPORT_SAMPLEDOCUMENT_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// A valid document: pipeline "ledger" of 8 layers over engine pool "engines"
/// (one endpoint with all layers in each of fd-a and fd-b, and two with half of
/// the layers each in fd-c), service pool "registry" with one non-idempotent
/// rule, one link, and the given number of accounts "account-0", ... whose keys
/// are "key-0", ...
Document sampleDocument(unsigned Accounts = 3);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_SAMPLEDOCUMENT_H
