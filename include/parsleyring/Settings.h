#ifndef PARSLEYRING_SETTINGS_H
#define PARSLEYRING_SETTINGS_H

#include "parsleyring/Types.h"

#include <string>
#include <vector>

namespace parsleyring {

struct PeerSeed {
  std::string m_VM;
  std::string m_Address; ///< IP:port of the peer's Thrift server.
  std::string m_FailureDomain;
};

struct OperatorLogin {
  std::string m_Name;
  std::string m_PasswordHash; ///< "pbkdf2-sha256$ROUNDS$SALT-HEX$HASH-HEX"
};

/// A router whose configuration version the console shows.
struct RouterAddress {
  std::string m_VM;
  std::string m_Address; ///< IP:port of the router's server for callers.
};

/// Settings of a process, read from one TOML file and checked whole. Defaults
/// and limits of every setting are in Settings.cpp.
struct Settings {
  // [vm]
  std::string m_VM;
  std::string m_FailureDomain;
  // [listen]
  std::string m_CallerAddress; ///< IP:port; the console listens here as well.
  std::string m_PeerAddress;   ///< IP:port; unused by the console.
  // [platform]
  std::string m_PlatformAddress;
  Duration m_PlatformTimeout = std::chrono::seconds(1);
  // [[peer]]
  std::vector<PeerSeed> m_Peers;
  // [limits]
  std::uint64_t m_MaxBodyBytes = 1 << 20;
  std::uint32_t m_MaxConnections = 512;
  Duration m_DrainLead = std::chrono::seconds(5);
  Duration m_ClaimTimeout = std::chrono::seconds(2);
  Duration m_FirstTokenTimeout = std::chrono::seconds(3);
  Duration m_AnswerKeepTime = std::chrono::minutes(10);
  std::uint64_t m_AnswerKeepBytes = 32 << 20;
  Duration m_LoadPollInterval = std::chrono::seconds(1);
  // [audit]
  bool m_IsTraceEnabled = false;
  // [console]
  std::string m_SessionSecret; ///< The same for all consoles; 32 bytes or more.
  std::vector<OperatorLogin> m_Operators;
  // [[router]]; of the console only
  std::vector<RouterAddress> m_Routers;

  /// Which program reads the file; decides which settings are required.
  enum class Program { Router, Console };

  /// Reads a file. All problems are appended to Findings; the result may be
  /// used only if none was added.
  static Settings fromFile(const std::string &Path, Program Reader,
                           std::vector<Finding> &Findings);
};

} // namespace parsleyring

#endif // PARSLEYRING_SETTINGS_H
