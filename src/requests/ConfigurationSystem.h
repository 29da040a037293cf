#ifndef PARSLEYRING_REQUESTS_CONFIGURATIONSYSTEM_H
#define PARSLEYRING_REQUESTS_CONFIGURATIONSYSTEM_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Applies a configuration if its version is higher than the one in force, and
/// ends the requests of pools that it removes.
class ConfigurationSystem {
public:
  ConfigurationSystem(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  void configurationApplied(EventContext &Context,
                            const ConfigurationApplied &Applied);

private:
  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CONFIGURATIONSYSTEM_H
