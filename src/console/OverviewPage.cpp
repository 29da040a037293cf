#include "console/OverviewPage.h"

namespace parsleyring {

ConsoleResponse OverviewPage::damaged(PageCall &Call) {
  HtmlWriter Body;
  Body << "<p class=\"finding\">The document of version "
       << Call.m_Workspace.version()
       << " in the platform cannot be used; it may have been changed by hand. "
          "Routers keep the version that they have.</p>\n";
  writeFindings(Body, Call.m_Workspace.loadFindings());
  if (Call.m_Workspace.version() > 0)
    Body << "<p>No change can build on it. Publish a whole document instead: "
            "<button formaction=\"/import\">Import</button></p>\n";
  else
    Body << "<p>The head does not say its version, so no successor can be "
            "numbered. Restore the key <code>"
         << ConfigurationHeadKey << "</code> first.</p>\n";
  if (!Call.m_Workspace.draft().isEmpty())
    Body << "<p>Your changes so far, as TOML:</p>\n<pre>"
         << Call.m_Workspace.draft().toToml() << "</pre>\n";
  return renderPage(Call, "Damaged configuration", Body, 409);
}

ConsoleResponse OverviewPage::show(PageCall &Call) {
  const Workspace &Work = Call.m_Workspace;
  if (Work.isDamaged())
    return damaged(Call);
  const ConfigurationHead *Head = Work.head();
  HtmlWriter Body;
  if (!Head) {
    Body << "<p>No configuration is published. Begin with "
            "<button formaction=\"/import\">Import</button></p>\n";
    return renderPage(Call, "Overview", Body);
  }
  const Document &InForce = Work.inForce();
  std::size_t Endpoints = 0;
  for (const Pool &Each : InForce.m_Pools)
    Endpoints += Each.m_Endpoints.size();
  auto Row = [&](const std::string &Label, const std::string &Value) {
    Body << "<tr><th>" << Label << "</th><td>" << Value << "</td></tr>\n";
  };
  Body << "<table>\n";
  Row("version", std::to_string(Head->m_Version));
  Row("published by", Head->m_Author);
  Row("published at", formatTime(Head->m_PublishedAtMillis));
  Row("preference", std::string(name(InForce.m_Policy.m_Preference)));
  Row("route strategy", InForce.m_Policy.m_RouteStrategy);
  Row("client accounts", std::to_string(InForce.m_Accounts.size()));
  Row("pipelines", std::to_string(InForce.m_Pipelines.size()));
  Row("pools", std::to_string(InForce.m_Pools.size()));
  Row("endpoints", std::to_string(Endpoints));
  Row("rules", std::to_string(InForce.m_Rules.size()));
  Row("links", std::to_string(InForce.m_Links.size()));
  Body << "</table>\n<p><a href=\"/document.toml\">Document as TOML</a></p>\n";
  return renderPage(Call, "Overview", Body);
}

} // namespace parsleyring
