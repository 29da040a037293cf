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

/// Forwards TCP connections to one address and injects link faults. One thread
/// calls run(); other threads may set the faults.
class TcpProxy {
public:
  struct Faults {
    std::uint32_t m_DelayMillis = 0;    ///< In each direction.
    std::uint64_t m_BytesPerSecond = 0; ///< In each direction; 0: unlimited.
    /// Existing connections are closed and new ones refused.
    bool m_IsCut = false;
    /// Bytes in this direction are discarded. A connection that lost bytes
    /// stays silent in that direction, since a TCP stream has no gaps.
    bool m_LosesToServer = false;
    bool m_LosesToClient = false;
    /// A connection is closed after this many bytes to the client.
    std::uint64_t m_MaxBytesToClient =
        std::numeric_limits<std::uint64_t>::max();
    /// The faults apply only to connections of these processes; empty: to all.
    /// If set, m_IsCut closes new connections after accepting them.
    std::vector<pid_t> m_Processes;
  };

  /// Text in the bytes to the server that is replaced by one of equal length.
  /// If it is the address at which the client listens, the server's own
  /// connections to the client go through a proxy as well.
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
  /// Makes the existing connections silent for good.
  void freezeConnections();

private:
  using Clock = std::chrono::steady_clock;

  struct Chunk {
    Clock::time_point m_DueAt;
    std::string m_Bytes;
  };

  /// One direction of a connection.
  struct OneWayStream {
    int m_From = -1;
    int m_To = -1;
    std::deque<Chunk> m_Chunks;
    std::uint64_t m_SentBytes = 0;
    bool m_HasEnded = false;       ///< The sender has closed its side.
    bool m_IsEndForwarded = false; ///< The receiver's side was shut down.
    bool m_HasLostBytes = false;   ///< Bytes were discarded.
    bool m_HasFailed = false;      ///< One of the connections was reset.
  };

  struct Connection {
    OneWayStream m_ToServer;
    OneWayStream m_ToClient;
    bool m_IsFrozen = false;
    bool m_IsBroken = false;
    int m_ClientPort = 0;
    /// Whether the faults apply to the client's process; empty: not known yet.
    std::optional<bool> m_HasFaults;
  };

  void openListener();
  void acceptConnections();
  void addPolls(std::vector<pollfd> &Polls, Clock::time_point Now,
                Clock::time_point &Next) const;
  /// Waits until a socket is ready or the next chunk is due, at most
  /// CheckInterval.
  void waitForWork(Clock::time_point Now) const;
  void updateActiveFaults();
  void openOrCloseListener();
  bool hasFaults(Connection &Link) const;
  void transferBytes(Connection &Link, Clock::time_point Now);
  static bool receive(OneWayStream &Stream, bool IsDiscarding,
                      const Faults &Active, const Replacement &Replaced,
                      Clock::time_point Now);
  /// Sends the chunks that are due. Returns false if the connection failed, or
  /// if more than Limit bytes would be sent.
  static bool sendDueChunks(OneWayStream &Stream, std::uint64_t Limit,
                            const Faults &Active, Clock::time_point Now,
                            Clock::time_point &SendAllowedAt);
  /// True if the failed call on a socket of Stream can be repeated.
  static bool noteError(OneWayStream &Stream, int Error);
  /// Resets both connections if one of them was reset.
  static void closeConnection(Connection &Link);

  std::string m_Host;
  int m_Port = 0;
  std::string m_ToHost;
  int m_ToPort;
  int m_PortReservation = -1; ///< Bound socket; keeps the port while cut.
  int m_Listener = -1;
  mutable std::mutex m_Mutex;
  Faults m_Faults;
  Replacement m_Replacement;
  Faults m_ActiveFaults;           ///< Copy for the thread in run().
  Replacement m_ActiveReplacement; ///< Copy for the thread in run().
  bool m_IsFreezeRequested = false;
  bool m_IsFreezing = false; ///< Used by the thread in run().
  bool m_HasNewFaults = false;
  std::list<Connection> m_Connections;
  /// When m_BytesPerSecond allows more bytes to the server or the client.
  Clock::time_point m_ToServerAllowedAt;
  Clock::time_point m_ToClientAllowedAt;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_TCPPROXY_H
