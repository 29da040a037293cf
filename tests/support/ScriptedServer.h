#ifndef PARSLEYRING_TESTS_SUPPORT_SCRIPTEDSERVER_H
#define PARSLEYRING_TESTS_SUPPORT_SCRIPTEDSERVER_H

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// A TCP server on a free loopback port that reads the head of a request, sends
/// fixed bytes and then ends the connection, or keeps the connection open and
/// sends nothing more. A connection without a request does not hold up others.
class ScriptedServer {
public:
  enum class End {
    Close, ///< A reset if bytes of the request have not been read.
    KeepOpen,
    Reset,
    ShutDown,         ///< An orderly end; reads the rest of the request.
    ShutDownAndReset, ///< An orderly end, and a reset after a second pause.
  };
  struct Script {
    End m_End = End::Close;
    std::chrono::milliseconds m_Pause{0}; ///< Between the answer and the end.
    /// Of each connection; a small buffer keeps a long request from being
    /// written while it is not read. 0: the system's default.
    int m_ReceiveBufferBytes = 0;
    /// How much of the request is read before the answer; at least its head.
    std::size_t m_RequestBytes = 0;
  };

  ScriptedServer(std::string Answer, End After)
      : ScriptedServer(std::move(Answer), Script{After, {}, 0, 0}) {}
  ScriptedServer(std::string Answer, const Script &Steps);
  ~ScriptedServer();

  std::string address() const;
  /// True once the headers of a request were read completely.
  bool hasRequest() const { return m_HasRequest; }
  /// True once a client has closed a connection that the server kept open.
  bool wasClosedByClient() const { return m_WasClosedByClient; }

private:
  void serve();
  void answer(int Connection);
  /// False if the client has closed the connection before.
  bool readRequest(int Connection);
  void readUntilClosed(int Connection);
  void end(int Connection);

  const std::string m_Answer;
  const Script m_Script;
  int m_Listener = -1;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<bool> m_HasRequest{false};
  std::atomic<bool> m_WasClosedByClient{false};
  std::vector<std::thread> m_Connections; ///< Used by serve() only.
  std::thread m_Thread;
};

/// A loopback address that refuses connections.
std::string refusingAddress();

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_SCRIPTEDSERVER_H
