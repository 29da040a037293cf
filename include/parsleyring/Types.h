#ifndef PARSLEYRING_TYPES_H
#define PARSLEYRING_TYPES_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

/// Wall-clock time in microseconds since the Unix epoch. Derived from a steady
/// clock that is set to the wall clock once at start, so it never goes back.
using Time = std::chrono::time_point<std::chrono::system_clock,
                                     std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// Number of a request within one incarnation of a VM.
using RequestNumber = std::uint64_t;
/// Number of an attempt within one incarnation of a VM.
using AttemptNumber = std::uint64_t;
using ConfigurationVersion = std::uint64_t;

/// Outcome of a request, as reported to the caller.
enum class Outcome { Completed, Failed, NotRun, Unknown };

/// Returns the name used on the wire: "completed", "failed", "not-run",
/// "unknown".
std::string_view name(Outcome Value);
std::optional<Outcome> outcomeFromName(std::string_view Name);

/// A half-open range [m_First, m_End) of model layers.
struct LayerRange {
  std::uint32_t m_First = 0;
  std::uint32_t m_End = 0;

  bool operator==(const LayerRange &Other) const {
    return m_First == Other.m_First && m_End == Other.m_End;
  }
};

/// An endpoint and the layers that it computes for a token.
struct Hop {
  std::string m_Endpoint;
  LayerRange m_Layers;

  bool operator==(const Hop &Other) const {
    return m_Endpoint == Other.m_Endpoint && m_Layers == Other.m_Layers;
  }
};

/// One stage of a route: a hop and the address of its endpoint.
struct Stage {
  Hop m_Hop;
  std::string m_Address; ///< IP:port
};

/// Identity of one run of a VM's router process.
struct Incarnation {
  std::string m_VM;
  std::uint64_t m_Number = 0; ///< Start time in microseconds since the epoch.
};

/// "req-<vm>-<incarnation>-<number>".
std::string requestId(const Incarnation &Owner, RequestNumber Number);

/// Parsed request id or reserved idempotency key.
struct OwnedId {
  Incarnation m_Owner;
  std::uint64_t m_Number = 0;
};

/// Parses "<Prefix>-<vm>-<incarnation>-<number>"; the VM name may contain
/// hyphens. Empty if the text has another form.
std::optional<OwnedId> parseOwnedId(std::string_view Prefix,
                                    std::string_view Text);

/// Lower-case hexadecimal SHA-256 of Text.
std::string sha256Hex(std::string_view Text);

/// One problem found in a settings file, a document or a form.
struct Finding {
  std::string m_File;
  int m_Line = 0;    ///< 1-based; 0 if unknown.
  std::string m_Key; ///< Dotted path, for example "pool[2].endpoint[0].slots".
  std::string m_Message; ///< What is wrong and what is allowed.
};

/// "FILE:LINE: KEY: MESSAGE".
std::string toString(const Finding &Value);

} // namespace parsleyring

#endif // PARSLEYRING_TYPES_H
