#include "support/LinkProxies.h"

#include "support/HttpCalls.h"

#include <stdexcept>

namespace parsleyring {

static const std::string AnyPort = "127.0.0.1:0";

const std::string &LinkProxies::add(const std::string &Link,
                                    const std::string &To) {
  Proxy &Added = m_Proxies[Link];
  Added.m_Process = std::make_unique<ProcessRunner>(
      "parsleyring-emulator",
      std::vector<std::string>{"proxy", "--listen", AnyPort, "--to", To});
  Added.m_Address = Added.m_Process->waitForLine("listening");
  Added.m_Admin = Added.m_Process->waitForLine("admin");
  return Added.m_Address;
}

const std::string &LinkProxies::address(const std::string &Link) const {
  return m_Proxies.at(Link).m_Address;
}

std::vector<std::string> LinkProxies::names() const {
  std::vector<std::string> Names;
  for (const auto &[Link, Running] : m_Proxies)
    Names.push_back(Link);
  return Names;
}

void LinkProxies::post(const std::string &Link, const std::string &Path,
                       const std::string &Body) const {
  if (sendHttp(m_Proxies.at(Link).m_Admin, {"POST", Path, Body}).m_Status !=
      200)
    throw std::runtime_error("proxy of link " + Link + " rejected POST " +
                             Path);
}

void LinkProxies::setFaults(const std::string &Link,
                            const std::string &Faults) const {
  post(Link, "/admin/faults", Faults);
}

void LinkProxies::dropTraffic(const std::string &Link) const {
  setFaults(Link, R"({"lose_to_server": true, "lose_to_client": true})");
}

void LinkProxies::dropTraffic(const std::string &Link,
                              const std::vector<pid_t> &Processes) const {
  std::string List;
  for (pid_t Process : Processes)
    List += (List.empty() ? "" : ",") + std::to_string(Process);
  setFaults(
      Link,
      R"({"lose_to_server": true, "lose_to_client": true, "processes": [)" +
          List + "]}");
}

void LinkProxies::cut(const std::string &Link) const {
  setFaults(Link, R"({"cut": true})");
}

void LinkProxies::freeze(const std::string &Link) const {
  setFaults(Link, R"({"freeze_existing": true})");
}

void LinkProxies::heal() const {
  for (const auto &[Link, Running] : m_Proxies)
    post(Link, "/admin/heal", "{}");
}

void LinkProxies::replace(const std::string &Link, const std::string &From,
                          const std::string &To) const {
  post(Link, "/admin/replace",
       R"({"from": ")" + From + R"(", "to": ")" + To + "\"}");
}

} // namespace parsleyring
