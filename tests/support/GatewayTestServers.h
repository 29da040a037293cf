#ifndef PARSLEYRING_TESTS_SUPPORT_GATEWAYTESTSERVERS_H
#define PARSLEYRING_TESTS_SUPPORT_GATEWAYTESTSERVERS_H

#include "support/FreePort.h"
#include "support/ProcessRunner.h"
#include "support/TemporaryFile.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// A request as received by a fake endpoint.
struct ReceivedCall {
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  std::multimap<std::string, std::string> m_Headers;

  /// Empty if the header is absent. Name is case-sensitive, as sent.
  std::string header(const std::string &Name) const;
};

/// The answer of a fake endpoint.
struct FakeEndpointAnswer {
  int m_Status = 200;
  std::string m_Body;
  std::map<std::string, std::string> m_Headers;
  bool m_ClosesConnection = false; ///< Closes the connection without the body.
  bool m_HasServerSeal = true;     ///< Sends the Server-Seal header.
  /// Sent as separate chunks of an event stream; m_Body is then unused.
  std::vector<std::string> m_Chunks;
  /// Called before each of m_Chunks with its index; may take its time.
  std::function<void(std::size_t)> m_BeforeChunk = {};
  /// Closes the connection after m_Chunks, without the final empty chunk.
  bool m_IsTruncated = false;
};

/// A fake endpoint on a loopback port; records the requests it receives.
class FakeEndpoint {
public:
  using Behaviour = std::function<FakeEndpointAnswer(const ReceivedCall &)>;

  explicit FakeEndpoint(Behaviour Respond);
  ~FakeEndpoint();

  const std::string &address() const;
  std::vector<ReceivedCall> calls() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

/// A fake of the platform's metadata store on a loopback port.
class FakeMetadataStore {
public:
  FakeMetadataStore();
  ~FakeMetadataStore();

  const std::string &address() const;
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  bool has(const std::string &Key) const;
  /// While the store is down, it answers each call with 503.
  void setDown(bool IsDown);
  /// While it is set, each answer has a field whose name has a blank.
  void setMalformed(bool IsMalformed);
  /// Keeps a copy of all items.
  void keepCopy();
  /// Restores the copy and begins a new era. Revisions are given out again.
  void restoreCopy();
  /// Number of calls so far.
  std::size_t calls() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

/// What differs between the gateway processes of a test.
struct GatewayOptions {
  std::string m_Name; ///< Of the VM.
  std::string m_StoreAddress;
  std::vector<std::string> m_Seeds; ///< Peer addresses.
  /// A loopback address. Processes exchange digests if their hosts differ and
  /// their digest ports do not.
  std::string m_Host = "127.0.0.1";
  int m_DigestPort = 0;      ///< 0: a free one.
  int m_MemoryMegabytes = 0; ///< Of limits.memory_mb; 0: left out.
  int m_MaxDescriptors = 0;  ///< Of limits.max_fds; 0: left out.
};

/// A gateway process with a settings file in the platform's format.
class GatewayProcess {
public:
  /// From SIGTERM until the platform kills the process.
  static constexpr std::chrono::seconds ShutdownTimeout{8};

  explicit GatewayProcess(const GatewayOptions &Options);
  GatewayProcess(const std::string &Name, const std::string &StoreAddress,
                 const std::vector<std::string> &Seeds = {})
      : GatewayProcess(GatewayOptions{Name, StoreAddress, Seeds}) {}

  const std::string &callerAddress() const { return m_CallerPort.address(); }
  const std::string &readyAddress() const { return m_ReadyPort.address(); }
  const std::string &peerAddress() const { return m_PeerPort.address(); }
  const std::string &metricsAddress() const { return m_MetricsPort.address(); }
  ProcessRunner &process() { return *m_Process; }
  /// Waits until /v1/readyz answers 200; false after the limit of eventually().
  bool waitUntilReady() const;

private:
  FreePort m_CallerPort;
  FreePort m_ReadyPort;
  FreePort m_PeerPort;
  FreePort m_InternalPort;
  FreePort m_MetricsPort;
  std::unique_ptr<TemporaryFile> m_Settings;
  std::unique_ptr<ProcessRunner> m_Process;
};

/// The operator's document as JSON: a plain service "plain", a layered service
/// "model", and routes of each kind on the host "host": "/once/"
/// (non-idempotent), "/repeat/" (two attempts) and "/stream/" (resumable).
std::string gatewayConfiguration(int Version, bool HasRepeatRoute = true);
/// An entry of the list of servers (key servers/ID) as JSON.
std::string serverEntry(const std::string &Service, const std::string &Address,
                        const std::string &State = "ready");

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_GATEWAYTESTSERVERS_H
