#ifndef PARSLEYRING_AUDIT_DOCUMENTTRACE_H
#define PARSLEYRING_AUDIT_DOCUMENTTRACE_H

#include "audit/TraceCodec.h"

namespace parsleyring {

/// The codec of the routers' traces, which hold documents as TOML.
TraceCodec documentTraceCodec();

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_DOCUMENTTRACE_H
