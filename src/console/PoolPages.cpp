#include "console/PoolPages.h"

#include "console/EntityEditor.h"
#include "console/RowTable.h"

#include <set>

namespace parsleyring {

static const EntityEditor<Pool> &editor() {
  static const EntityEditor<Pool> Editor(EntityKind::Pool, &Document::m_Pools,
                                         poolFields());
  return Editor;
}

static const RowTable<EndpointSpec> &endpointTable() {
  static const RowTable<EndpointSpec> Table("endpoint", endpointFields());
  return Table;
}

ConsoleResponse PoolPages::list(PageCall &Call) {
  HtmlWriter Body;
  Body << "<p>";
  writePageLink(Body, Call, "/pool", "New pool");
  Body << "</p>\n<table>\n<tr><th>name</th><th>kind</th><th>endpoints</th>"
          "<th>queue_limit</th></tr>\n";
  for (const Pool &Each : Call.m_Workspace.edited().m_Pools) {
    Body << "<tr><td>";
    writePageLink(Body, Call, editPath({EntityKind::Pool, Each.m_Name, ""}),
                  Each.m_Name);
    Body << "</td><td>" << name(Each.m_Kind) << "</td><td>"
         << Each.m_Endpoints.size() << "</td><td>" << Each.m_QueueLimit
         << "</td></tr>\n";
  }
  Body << "</table>\n";
  return renderPage(Call, "Pools", Body);
}

static ConsoleResponse render(PageCall &Call, const std::string &Original,
                              const Pool &Value, const FormData &Entered,
                              const FieldFindings &Findings) {
  return editor().render(
      Call, Original, Value, Entered, Findings, [&](HtmlWriter &Out) {
        Out << "<h2>Endpoints</h2>\n<p>Layers are for pools of kind engine; "
               "blank rows are left out.</p>\n";
        endpointTable().write(Out, Value.m_Endpoints, Entered, Findings);
      });
}

ConsoleResponse PoolPages::open(PageCall &Call) {
  Document Edited = Call.m_Workspace.edited();
  Pool Value = editor().openEntity(Call.input(), Edited);
  FieldFindings Findings;
  if (Value.m_Name.empty())
    return render(Call, "", Value, {}, Findings);
  for (const Finding &Each : DocumentChecker().check(Edited)) {
    auto Location = locateFinding(Edited, Each.m_Key);
    if (!Location || Location->m_Entity.m_Name != Value.m_Name)
      continue;
    if (Location->m_Entity.m_Kind == EntityKind::Pool)
      Findings.emplace("pool." + Location->m_Field, Each.m_Message);
    if (Location->m_Entity.m_Kind == EntityKind::Endpoint)
      Findings.emplace(
          endpointTable().inputName(Location->m_Index, Location->m_Field),
          Each.m_Message);
  }
  return render(Call, Value.m_Name, Value, {}, Findings);
}

ConsoleResponse PoolPages::save(PageCall &Call) {
  const std::string &Original = Call.input().required("original");
  Pool Value;
  FieldFindings Findings;
  readFields(Call.input(), poolFields(), editor().prefix(), Value, Findings);
  Value.m_Endpoints = endpointTable().read(Call.input(), Findings);
  // Drafts identify the endpoints of a pool by name, so each name may occur
  // only once.
  std::set<std::string> Names;
  for (const EndpointSpec &Each : Value.m_Endpoints)
    if (!Names.insert(Each.m_Name).second)
      Findings.emplace("pool.name", "endpoint \"" + Each.m_Name +
                                        "\" occurs more than once");
  Document Edited = Call.m_Workspace.edited();
  editor().replace(Edited, Original, Value, Findings);
  if (!Findings.empty())
    return render(Call, Original, Value, Call.input(), Findings);
  Call.m_Workspace.edit(Edited);
  return ReviewPage::afterEdit(Call, {});
}

ConsoleResponse PoolPages::remove(PageCall &Call) {
  return editor().remove(Call);
}

} // namespace parsleyring
