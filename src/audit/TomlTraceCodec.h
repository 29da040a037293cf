#ifndef PARSLEYRING_AUDIT_TOMLTRACECODEC_H
#define PARSLEYRING_AUDIT_TOMLTRACECODEC_H

#include "audit/TraceCodec.h"

namespace parsleyring {

/// The codec of router traces, in which documents are TOML text.
TraceCodec tomlTraceCodec();

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_TOMLTRACECODEC_H
