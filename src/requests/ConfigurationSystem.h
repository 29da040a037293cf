#ifndef PARSLEYRING_REQUESTS_CONFIGURATIONSYSTEM_H
#define PARSLEYRING_REQUESTS_CONFIGURATIONSYSTEM_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Puts newer configurations in force; an older one never replaces a newer.
class ConfigurationSystem {
public:
  ConfigurationSystem(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  void configurationApplied(Context &Call, const ConfigurationApplied &Applied);

private:
  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CONFIGURATIONSYSTEM_H
