#include "support/FaultProxy.h"

#include "support/HttpCalls.h"

#include <stdexcept>

namespace parsleyring {

FaultProxy::FaultProxy(const std::string &Target)
    : m_Process("parsleyring-emulator",
                {"proxy", "--listen", "127.0.0.1:0", "--to", Target}),
      m_Address(m_Process.waitForLine("listening")),
      m_Admin(m_Process.waitForLine("admin")) {}

void FaultProxy::setFaults(const std::string &Json) const {
  post("/admin/faults", Json);
}

void FaultProxy::heal() const { post("/admin/heal", "{}"); }

void FaultProxy::post(const std::string &Path, const std::string &Body) const {
  if (sendHttp(m_Admin, {"POST", Path, Body}).m_Status != 200)
    throw std::runtime_error("the proxy rejected " + Body);
}

} // namespace parsleyring
