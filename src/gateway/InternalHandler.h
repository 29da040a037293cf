#ifndef PARSLEYRING_GATEWAY_INTERNALHANDLER_H
#define PARSLEYRING_GATEWAY_INTERNALHANDLER_H

#include "gateway/CallerConnection.h"

namespace parsleyring {

/// Base of the handlers of internal requests. Uses the default limits and never
/// reports that it is stopping.
class InternalHandler : public RequestHandler {
public:
  /// Callers is the handler of the requests of callers, Memory the budget of
  /// the internal requests. Both must outlive the object.
  InternalHandler(RequestHandler &Callers, MemoryBudget &Memory);

  Time now() const override { return m_Callers.now(); }
  const TransferTimeouts &transferTimeouts() const override {
    return m_Callers.transferTimeouts();
  }
  MemoryBudget &memoryBudget() override { return m_Memory; }
  std::string clientOf(const boost::beast::http::fields &Fields,
                       const std::string &Address) const override;
  void
  awaitMemory(const std::shared_ptr<CallerConnection> &Connection) override;
  AnswerFields refuseReceipt(ReceiptRefusal Cause,
                             const boost::beast::http::fields &Head,
                             const std::string &Client,
                             std::size_t HeldBytes) override;
  void handleClosed(ConnectionClose Cause, const std::string &Address) override;
  const CallerLimits &limits() const override { return m_Limits; }
  bool isStopping() const override { return false; }
  void handleMalformed(unsigned Status, const std::string &Reason) override;

protected:
  RequestHandler &m_Callers;

private:
  MemoryBudget &m_Memory;
  CallerLimits m_Limits;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_INTERNALHANDLER_H
