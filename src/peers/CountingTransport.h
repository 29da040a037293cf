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
  using Count = std::function<void(std::uint64_t Bytes)>;

  CountingTransport(
      const std::shared_ptr<apache::thrift::transport::TTransport> &Inner,
      Count Sink)
      : TFramedTransport(Inner), m_Count(std::move(Sink)) {}

  std::uint32_t readEnd() override {
    return counted(TFramedTransport::readEnd());
  }
  std::uint32_t writeEnd() override {
    return counted(TFramedTransport::writeEnd());
  }

private:
  std::uint32_t counted(std::uint32_t Bytes) {
    if (m_Count)
      m_Count(Bytes);
    return Bytes;
  }

  const Count m_Count;
};

/// Wraps each connection of a server in a CountingTransport.
class CountingTransportFactory
    : public apache::thrift::transport::TTransportFactory {
public:
  explicit CountingTransportFactory(CountingTransport::Count Sink)
      : m_Count(std::move(Sink)) {}

  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
      std::shared_ptr<apache::thrift::transport::TTransport> Inner) override {
    return std::make_shared<CountingTransport>(Inner, m_Count);
  }

private:
  const CountingTransport::Count m_Count;
};

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_COUNTINGTRANSPORT_H
