#include "console/RolloutPage.h"

#include "console/RolloutPoll.h"

namespace parsleyring {

static std::string stateText(const RouterVersion &Router,
                             ConfigurationVersion Published) {
  if (!Router.m_Problem.empty())
    return Router.m_Problem;
  if (Router.m_Version < Published)
    return "behind by " + formatCount(Published - Router.m_Version, "version");
  if (Router.m_Version > Published)
    return "newer than the version in the platform";
  return "in force";
}

ConsoleResponse RolloutPage::show(PageCall &Call) {
  const std::vector<RouterAddress> &Routers =
      Call.m_Context.m_Settings.m_Routers;
  std::vector<RouterVersion> Versions = pollRouterVersions(Routers);
  ConfigurationVersion Published = Call.m_Workspace.version();
  std::size_t UpToDate = 0;
  for (const RouterVersion &Each : Versions)
    if (Each.m_Problem.empty() && Each.m_Version == Published)
      ++UpToDate;
  HtmlWriter Body;
  Body << "<p>Published is version " << Published;
  if (const ConfigurationHead *Head = Call.m_Workspace.head())
    Body << ", since " << formatTime(Head->m_PublishedAtMillis);
  Body << ". " << UpToDate << " of " << formatCount(Routers.size(), "router")
       << " have it in force.</p>\n";
  if (Routers.empty())
    Body << "<p>The settings of this console name no <code>[[router]]</code>."
            "</p>\n";
  Body << "<table>\n<tr><th>VM</th><th>address</th><th>version</th>"
          "<th>since</th><th>state</th></tr>\n";
  for (std::size_t At = 0; At < Routers.size(); ++At) {
    Body << "<tr><td>" << Routers[At].m_VM << "</td><td>"
         << Routers[At].m_Address << "</td><td>";
    if (Versions[At].m_Problem.empty())
      Body << Versions[At].m_Version;
    Body << "</td><td>";
    if (Versions[At].m_InForceSinceMillis > 0)
      Body << formatTime(Versions[At].m_InForceSinceMillis);
    Body << "</td><td>" << stateText(Versions[At], Published) << "</td></tr>\n";
  }
  Body << "</table>\n";
  return renderPage(Call, "Rollout", Body);
}

} // namespace parsleyring
