#ifndef PARSLEYRING_EMULATOR_HTTPSERVER_H
#define PARSLEYRING_EMULATOR_HTTPSERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace parsleyring {

/// An HTTP request that an emulator received.
struct EmulatorCall {
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  std::map<std::string, std::string> m_Headers; ///< Names in lower case.
  std::map<std::string, std::string> m_Query;

  /// Empty if the header is absent. Name is in lower case.
  std::string header(const std::string &Name) const;
  /// Returns Fallback if the parameter is absent.
  std::string query(const std::string &Name,
                    const std::string &Fallback = {}) const;
  bool hasQuery(const std::string &Name) const;
};

/// Writer of a response body that is sent in chunks.
class HttpBodyWriter {
public:
  virtual ~HttpBodyWriter() = default;
  /// Returns false if the connection is closed.
  virtual bool write(std::string_view Piece) = 0;
  virtual bool isOpen() const = 0;
};

struct HttpReply {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
  std::map<std::string, std::string> m_Headers;
  /// If set, writes the body in chunks. If it returns false, the connection is
  /// closed without the last (empty) chunk.
  std::function<bool(HttpBodyWriter &)> m_WriteBody;
  /// Closes the connection without sending a response.
  bool m_ClosesConnection = false;
};

/// HTTP server of the emulators, with one thread per connection and faults
/// that affect single connections. It runs until the process ends.
class HttpServer {
public:
  using Handler = std::function<void(const EmulatorCall &, HttpReply &)>;

  explicit HttpServer(Handler Respond);
  ~HttpServer();

  /// Binds to "IP:port"; port 0 selects a free port. Returns the address with
  /// the actual port. Throws std::runtime_error.
  std::string bind(const std::string &Address);
  /// Prints "Label IP:port" and serves requests.
  void run(const std::string &Label = "listening");

  /// Makes the existing connections silent for good: nothing more is read from
  /// or written to them. New connections work, and so does the one that the
  /// calling thread serves.
  void freezeConnections();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

/// Splits "IP:port" into host and port. Throws std::invalid_argument.
std::pair<std::string, int> splitAddress(const std::string &Address);

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_HTTPSERVER_H
