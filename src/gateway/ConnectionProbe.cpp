#include "gateway/ConnectionProbe.h"

#include "core/SocketAddress.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace parsleyring {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

struct Probe {
  explicit Probe(asio::io_context &Loop) : m_Socket(Loop), m_Timer(Loop) {}

  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
};

} // namespace

void probeConnection(asio::io_context &Loop, const std::string &Address,
                     Duration Timeout,
                     std::function<void(ProbeResult)> OnResult) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Address);
  if (!Parsed) {
    asio::post(Loop, [OnResult] { OnResult(ProbeResult::Unknown); });
    return;
  }
  auto Running = std::make_shared<Probe>(Loop);
  Running->m_Timer.expires_after(Timeout);
  Running->m_Timer.async_wait([Running](boost::system::error_code Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Running->m_Socket.close(Ignored);
  });
  tcp::endpoint Target(asio::ip::make_address(Parsed->m_Host), Parsed->m_Port);
  Running->m_Socket.async_connect(
      Target, [Running, OnResult](boost::system::error_code Error) {
        Running->m_Timer.cancel();
        boost::system::error_code Ignored;
        Running->m_Socket.close(Ignored);
        // A reset while connecting comes from a process that had accepted.
        bool IsAccepted = !Error || Error == asio::error::connection_reset;
        bool IsRefused = Error == asio::error::connection_refused;
        OnResult(IsAccepted  ? ProbeResult::Accepted
                 : IsRefused ? ProbeResult::Refused
                             : ProbeResult::Unknown);
      });
}

} // namespace parsleyring
