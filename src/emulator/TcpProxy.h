#ifndef PARSLEYRING_EMULATOR_TCPPROXY_H
#define PARSLEYRING_EMULATOR_TCPPROXY_H

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

struct pollfd;

namespace parsleyring {

/// Forwards TCP connections to one address, with faults of the link. One
/// thread runs it; the faults may be set by another one.
class TcpProxy {
public:
  struct Faults {
    std::uint32_t m_DelayMillis = 0;    ///< Each way.
    std::uint64_t m_BytesPerSecond = 0; ///< Each way; 0: unlimited.
    /// Connections are closed, and new ones refused.
    bool m_IsCut = false;
    /// Bytes of this way disappear. A connection that lost bytes stays silent
    /// that way, since a gap in a TCP stream cannot be passed over.
    bool m_LosesToServer = false;
    bool m_LosesToClient = false;
    /// A connection is closed after so many bytes to the client.
    std::uint64_t m_AnswerBytes = std::numeric_limits<std::uint64_t>::max();
    /// Only the connections of these processes have the faults, and are
    /// accepted also while cut; empty: all connections.
    std::vector<pid_t> m_Processes;
  };

  /// Text that is replaced on the way to the server, by one of equal length.
  /// A server that is told where its client listens then answers through a
  /// proxy as well.
  struct Replacement {
    std::string m_From;
    std::string m_To;
  };

  TcpProxy(const std::string &Listen, const std::string &To);
  ~TcpProxy();

  std::string address() const;
  void run();

  Faults faults() const;
  void setFaults(const Faults &Value);
  void setReplacement(const Replacement &Value);
  /// The connections that exist now become silent for good.
  void freezeConnections();

private:
  using Clock = std::chrono::steady_clock;

  struct Chunk {
    Clock::time_point m_Due;
    std::string m_Bytes;
  };

  /// One way of a connection.
  struct Way {
    int m_From = -1;
    int m_To = -1;
    std::deque<Chunk> m_Chunks;
    std::uint64_t m_SentBytes = 0;
    bool m_HasEnded = false; ///< No more bytes come.
    bool m_IsShut = false;   ///< The end was passed on.
    bool m_IsLossy = false;
  };

  struct Connection {
    Way m_ToServer;
    Way m_ToClient;
    bool m_IsFrozen = false;
    bool m_IsBroken = false;
    int m_ClientPort = 0;
    /// Whether the client is one of m_Active.m_Processes; empty: not known yet.
    std::optional<bool> m_HasFaults;
  };

  void openListener();
  void acceptConnections();
  void addPolls(std::vector<pollfd> &Polls, Clock::time_point Now,
                Clock::time_point &Next) const;
  /// Waits for the sockets or the next chunk that is due.
  void waitForWork(Clock::time_point Now) const;
  void takeFaults();
  void openOrCloseListener();
  bool hasFaults(Connection &Link) const;
  void moveBytes(Connection &Link, Clock::time_point Now);
  static bool receive(Way &Route, bool IsLost, const Faults &Active,
                      const Replacement &Replaced, Clock::time_point Now);
  /// Returns false if the connection failed or has sent Limit bytes and would
  /// send more.
  static bool sendDue(Way &Route, std::uint64_t Limit, const Faults &Active,
                      Clock::time_point Now, Clock::time_point &FreeAt);
  static void closeConnection(Connection &Link);

  std::string m_Host;
  int m_Port = 0;
  std::string m_ToHost;
  int m_ToPort;
  int m_PortHolder = -1; ///< Keeps the port while nothing listens.
  int m_Listener = -1;
  mutable std::mutex m_Mutex;
  Faults m_Faults;
  Replacement m_Replacement;
  Faults m_Active;                 ///< Copy for the running thread.
  Replacement m_ActiveReplacement; ///< Copy for the running thread.
  bool m_WantsFreeze = false;
  bool m_IsFreezing = false; ///< Used by the running thread.
  bool m_HasNewFaults = false;
  std::list<Connection> m_Connections;
  Clock::time_point m_ServerFreeAt; ///< When the bandwidth allows more bytes.
  Clock::time_point m_ClientFreeAt;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_TCPPROXY_H
