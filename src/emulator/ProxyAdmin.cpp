#include "emulator/ProxyAdmin.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace parsleyring {

using Json = nlohmann::json;

ProxyAdmin::ProxyAdmin(const ProxyOptions &Options)
    : m_Options(Options), m_Proxy(Options.m_Listen, Options.m_To),
      m_Server([this](const EmulatorCall &Call, HttpReply &Reply) {
        respond(Call, Reply);
      }) {}

void ProxyAdmin::run() {
  m_Server.bind(m_Options.m_Admin);
  std::cout << "listening " << m_Proxy.address() << std::endl;
  std::thread([this] { m_Proxy.run(); }).detach();
  m_Server.run("admin");
}

void ProxyAdmin::respond(const EmulatorCall &Call, HttpReply &Reply) try {
  if (Call.m_Path == "/admin/faults")
    setFaults(Call.m_Body);
  else if (Call.m_Path == "/admin/replace")
    setReplacement(Call.m_Body);
  else if (Call.m_Path == "/admin/heal")
    m_Proxy.setFaults({});
  else
    Reply.m_Status = 404;
} catch (const std::exception &Error) {
  Reply.m_Status = 400;
  Reply.m_Body = Error.what();
}

void ProxyAdmin::setReplacement(const std::string &Body) {
  Json Fields = Json::parse(Body);
  TcpProxy::Replacement NewReplacement{Fields.at("from"), Fields.at("to")};
  if (NewReplacement.m_From.size() != NewReplacement.m_To.size())
    throw std::invalid_argument("from and to differ in length");
  m_Proxy.setReplacement(NewReplacement);
}

void ProxyAdmin::setFaults(const std::string &Body) {
  Json Fields = Json::parse(Body);
  TcpProxy::Faults Faults = m_Proxy.faults();
  auto Set = [&Fields](const char *Name, auto &Field) {
    Field = Fields.value(Name, Field);
  };
  Set("delay_ms", Faults.m_DelayMillis);
  Set("bytes_per_second", Faults.m_BytesPerSecond);
  Set("cut", Faults.m_IsCut);
  Set("lose_to_server", Faults.m_LosesToServer);
  Set("lose_to_client", Faults.m_LosesToClient);
  Set("drop_answer_after", Faults.m_MaxBytesToClient);
  Set("processes", Faults.m_Processes);
  m_Proxy.setFaults(Faults);
  if (Fields.value("freeze_existing", false))
    m_Proxy.freezeConnections();
}

} // namespace parsleyring
