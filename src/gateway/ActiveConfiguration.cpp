#include "gateway/ActiveConfiguration.h"

namespace parsleyring {

void ActiveConfiguration::apply(const StoreItem &Item) {
  if (Item.m_Revision <= m_Revision)
    return;
  m_Revision = Item.m_Revision;
  std::string Finding;
  auto Table = m_Records.parseConfiguration(Item.m_Value, Finding);
  if (!Table) {
    m_Log.write(
        m_Now(), "configuration-rejected", "",
        {{"revision", std::int64_t(Item.m_Revision)}, {"finding", Finding}});
    return;
  }
  if (Table->m_Version < version()) {
    m_Log.write(m_Now(), "configuration-outdated", "",
                {{"version", std::int64_t(Table->m_Version)},
                 {"revision", std::int64_t(Item.m_Revision)},
                 {"configuration", std::int64_t(version())}});
    return;
  }
  m_Table = std::move(Table);
  m_Metrics.setConfigurationVersion(version());
  m_Log.write(m_Now(), "configuration", "",
              {{"version", std::int64_t(version())},
               {"revision", std::int64_t(Item.m_Revision)},
               {"routes", std::int64_t(m_Table->routeCount())}});
}

} // namespace parsleyring
