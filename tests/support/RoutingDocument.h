#ifndef PARSLEYRING_TESTS_SUPPORT_ROUTINGDOCUMENT_H
#define PARSLEYRING_TESTS_SUPPORT_ROUTINGDOCUMENT_H

#include "parsleyring/Document.h"

#include <memory>

namespace parsleyring {

inline EndpointSpec endpointSpec(const std::string &Name, LayerRange Layers,
                                 std::uint32_t TokenMicros = 1000,
                                 std::uint32_t Slots = 8,
                                 const std::string &FailureDomain = "a") {
  EndpointSpec Spec;
  Spec.m_Name = Name;
  Spec.m_Address = "127.0.0.1:1";
  Spec.m_FailureDomain = FailureDomain;
  Spec.m_Layers = Layers;
  Spec.m_TokenMicros = TokenMicros;
  Spec.m_Slots = Slots;
  return Spec;
}

/// A document with one engine pool named "pool".
inline std::shared_ptr<Document>
routingDocument(const std::vector<EndpointSpec> &Endpoints,
                const std::string &Strategy = "estimated-cost") {
  auto Result = std::make_shared<Document>();
  Result->m_Policy.m_RouteStrategy = Strategy;
  Result->m_Pools.emplace_back();
  Result->m_Pools.back().m_Name = "pool";
  Result->m_Pools.back().m_Endpoints = Endpoints;
  return Result;
}

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_ROUTINGDOCUMENT_H
