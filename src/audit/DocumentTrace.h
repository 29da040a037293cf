#ifndef PARSLEYRING_AUDIT_DOCUMENTTRACE_H
#define PARSLEYRING_AUDIT_DOCUMENTTRACE_H

#include "audit/TraceCodec.h"

namespace parsleyring {

/// The codec of router traces, in which documents are TOML text.
TraceCodec documentTraceCodec();

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_DOCUMENTTRACE_H
