#ifndef PARSLEYRING_SETTINGS_H
#define PARSLEYRING_SETTINGS_H

#include "parsleyring/Types.h"

#include <string>
#include <vector>

namespace parsleyring {

/// A peer listed in the settings.
struct PeerSeed {
  std::string m_VM;
  std::string m_Address; ///< IP:port of the peer's Thrift server.
  std::string m_FailureDomain;
};

/// Login of an operator at the console.
struct OperatorLogin {
  std::string m_Name;
  std::string m_PasswordHash; ///< "pbkdf2-sha256$ROUNDS$SALT-HEX$HASH-HEX"
};

/// A router whose configuration version the console displays.
struct RouterAddress {
  std::string m_VM;
  std::string m_Address; ///< IP:port of the router's server for callers.
};

/// Settings of a process, read from one TOML file. The initializers are the
/// defaults; the limits are in Settings.cpp.
struct Settings {
  // [vm]
  std::string m_VM;
  std::string m_FailureDomain;
  // [listen]
  std::string m_CallerAddress; ///< IP:port; the console uses it for operators.
  std::string m_PeerAddress;   ///< IP:port; unused by the console.
  // [platform]
  std::string m_PlatformAddress;
  Duration m_PlatformTimeout = std::chrono::seconds(1);
  // [[peer]]
  std::vector<PeerSeed> m_Peers;
  // [limits]
  std::uint64_t m_MaxBodyBytes = 1 << 20;
  std::uint32_t m_MaxConnections = 512;
  /// How long /readyz fails before new requests are rejected at a shutdown.
  Duration m_DrainLead = std::chrono::seconds(5);
  Duration m_ClaimTimeout = std::chrono::seconds(2);
  /// Per attempt; an attempt without a token for this long is stalled.
  Duration m_FirstTokenTimeout = std::chrono::seconds(3);
  /// Age and total size up to which ended answers stay in memory.
  Duration m_AnswerKeepTime = std::chrono::minutes(10);
  std::uint64_t m_AnswerKeepBytes = 32 << 20;
  Duration m_LoadPollInterval = std::chrono::seconds(1);
  // [audit]
  bool m_IsTraceEnabled = false;
  // [console]
  std::string m_SessionSecret; ///< Equal at all consoles; 32 bytes or more.
  std::vector<OperatorLogin> m_Operators;
  // [[router]]; console only
  std::vector<RouterAddress> m_Routers;

  /// The program that reads the file; determines the required settings.
  enum class Program { Router, Console };

  /// Reads and checks a file. Appends all problems to Findings; the result is
  /// valid only if none was added.
  static Settings fromFile(const std::string &Path, Program Reader,
                           std::vector<Finding> &Findings);
};

} // namespace parsleyring

#endif // PARSLEYRING_SETTINGS_H
