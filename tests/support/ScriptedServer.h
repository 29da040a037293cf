#ifndef PARSLEYRING_TESTS_SUPPORT_SCRIPTEDSERVER_H
#define PARSLEYRING_TESTS_SUPPORT_SCRIPTEDSERVER_H

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// A TCP server on a free loopback port that reads a request, sends fixed bytes
/// and then closes the connection, or keeps the connection open and sends
/// nothing more. A connection without a request does not hold up others.
class ScriptedServer {
public:
  enum class End { Close, KeepOpen };

  ScriptedServer(std::string Answer, End After);
  ~ScriptedServer();

  std::string address() const;
  /// True once the headers of a request were read completely.
  bool hasRequest() const { return m_HasRequest; }
  /// True once a client has closed a connection that the server kept open.
  bool wasClosedByClient() const { return m_WasClosedByClient; }

private:
  void serve();
  void answer(int Connection);

  const std::string m_Answer;
  const End m_End;
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
