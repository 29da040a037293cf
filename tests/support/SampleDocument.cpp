#include "support/SampleDocument.h"

namespace parsleyring {

static EndpointSpec endpoint(const std::string &Name, const std::string &Domain,
                             LayerRange Layers) {
  EndpointSpec Value;
  Value.m_Name = Name;
  Value.m_Address = "127.0.0.1:7001";
  Value.m_FailureDomain = Domain;
  Value.m_Accelerator = "large";
  Value.m_Layers = Layers;
  return Value;
}

Document sampleDocument(unsigned Accounts) {
  Document Value;
  Value.m_Pipelines = {{"ledger", 8, "engines", 256}};
  Pool Engines;
  Engines.m_Name = "engines";
  Engines.m_Endpoints = {
      endpoint("full-a", "fd-a", {0, 8}), endpoint("full-b", "fd-b", {0, 8}),
      endpoint("low-c", "fd-c", {0, 4}), endpoint("high-c", "fd-c", {4, 8})};
  Pool Registry;
  Registry.m_Name = "registry";
  Registry.m_Kind = PoolKind::Service;
  Registry.m_Endpoints = {endpoint("registry-a", "fd-a", {})};
  Value.m_Pools = {Engines, Registry};
  Value.m_Rules = {{"registry", "POST", "/fees", false}};
  Value.m_Links = {{"fd-a", "fd-b", 800}};
  for (unsigned Index = 0; Index < Accounts; ++Index) {
    ClientAccount Account;
    Account.m_Name = "account-" + std::to_string(Index);
    Account.m_KeySha256 = {sha256Hex("key-" + std::to_string(Index))};
    Value.m_Accounts.push_back(Account);
  }
  return Value;
}

} // namespace parsleyring
