#ifndef PARSLEYRING_PEERS_COUNTINGTRANSPORT_H
#define PARSLEYRING_PEERS_COUNTINGTRANSPORT_H

#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <functional>

namespace parsleyring {

/// Framed transport that reports the size of each message, including the frame
/// header.
class CountingTransport : public apache::thrift::transport::TFramedTransport {
public:
  using ByteCallback = std::function<void(std::uint64_t Bytes)>;

  CountingTransport(
      const std::shared_ptr<apache::thrift::transport::TTransport> &Inner,
      ByteCallback OnMessage)
      : TFramedTransport(Inner), m_OnMessage(std::move(OnMessage)) {}

  std::uint32_t readEnd() override {
    return reportBytes(TFramedTransport::readEnd());
  }
  std::uint32_t writeEnd() override {
    return reportBytes(TFramedTransport::writeEnd());
  }

private:
  std::uint32_t reportBytes(std::uint32_t Bytes) {
    if (m_OnMessage)
      m_OnMessage(Bytes);
    return Bytes;
  }

  const ByteCallback m_OnMessage;
};

/// Wraps each connection of a server in a CountingTransport.
class CountingTransportFactory
    : public apache::thrift::transport::TTransportFactory {
public:
  explicit CountingTransportFactory(CountingTransport::ByteCallback OnMessage)
      : m_OnMessage(std::move(OnMessage)) {}

  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
      std::shared_ptr<apache::thrift::transport::TTransport> Inner) override {
    return std::make_shared<CountingTransport>(Inner, m_OnMessage);
  }

private:
  const CountingTransport::ByteCallback m_OnMessage;
};

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_COUNTINGTRANSPORT_H
