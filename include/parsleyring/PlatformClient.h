#ifndef PARSLEYRING_PLATFORMCLIENT_H
#define PARSLEYRING_PLATFORMCLIENT_H

#include "parsleyring/Types.h"

#include <optional>
#include <stdexcept>
#include <string>

namespace parsleyring {

/// A call of the key-value service of the platform failed.
class PlatformError : public std::runtime_error {
public:
  enum class Kind {
    NoEffect,    ///< The call had no effect.
    Unknown,     ///< A write may have taken effect; read it back.
    RateLimited, ///< The call was refused; it had no effect.
  };

  PlatformError(Kind Reason, const std::string &What)
      : std::runtime_error(What), m_Kind(Reason) {}

  Kind kind() const { return m_Kind; }

private:
  Kind m_Kind;
};

/// A value of the key-value service with its version.
struct PlatformValue {
  std::string m_Value;
  std::uint64_t m_ModifyIndex = 0; ///< Changes with each write of the key.
};

/// Blocking client of the key-value service of the platform. Thread-safe.
class PlatformClient {
public:
  virtual ~PlatformClient() = default;

  /// Empty if the key is absent. Throws PlatformError.
  virtual std::optional<PlatformValue> read(const std::string &Key) = 0;

  struct WatchResult {
    std::optional<PlatformValue> m_Value;
    std::uint64_t m_Index = 0; ///< Pass it to the next watch().
  };
  /// Blocks until the key changes after index After, but no longer than Wait.
  /// Throws PlatformError.
  virtual WatchResult watch(const std::string &Key, std::uint64_t After,
                            Duration Wait) = 0;

  /// Writes if the modify index of the key is still Expected (0: key absent),
  /// else returns false. Throws PlatformError.
  virtual bool compareAndSwap(const std::string &Key, const std::string &Value,
                              std::uint64_t Expected) = 0;

  /// Removes the key if its modify index is still Expected, else returns false.
  /// Throws PlatformError.
  virtual bool remove(const std::string &Key, std::uint64_t Expected) = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLATFORMCLIENT_H
