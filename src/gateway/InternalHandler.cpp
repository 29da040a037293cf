#include "gateway/InternalHandler.h"

namespace parsleyring {

// Internal requests have no bodies that are used; a short one is not an error.
static constexpr std::uint64_t MaxInternalBodyBytes = 4 << 10;

InternalHandler::InternalHandler(RequestHandler &Callers, MemoryBudget &Memory)
    : m_Callers(Callers), m_Memory(Memory) {
  m_Limits.m_MaxBodyBytes = MaxInternalBodyBytes;
}

std::string InternalHandler::clientOf(const boost::beast::http::fields &,
                                      const std::string &Address) const {
  return Address;
}

void InternalHandler::awaitMemory(
    const std::shared_ptr<CallerConnection> &Connection) {
  m_Callers.awaitMemory(Connection);
}

AnswerFields InternalHandler::refuseReceipt(
    ReceiptRefusal Cause, const boost::beast::http::fields &Head,
    const std::string &Client, std::size_t HeldBytes) {
  return m_Callers.refuseReceipt(Cause, Head, Client, HeldBytes);
}

void InternalHandler::handleClosed(ConnectionClose Cause,
                                   const std::string &Address) {
  m_Callers.handleClosed(Cause, Address);
}

void InternalHandler::handleMalformed(unsigned, const std::string &) {}

} // namespace parsleyring
