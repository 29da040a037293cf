#include "console/PipelinePages.h"

#include "console/EntityEditor.h"

namespace parsleyring {

static const EntityEditor<Pipeline> &editor() {
  static const EntityEditor<Pipeline> Editor(
      EntityKind::Pipeline, &Document::m_Pipelines, pipelineFields());
  return Editor;
}

ConsoleResponse PipelinePages::list(PageCall &Call) {
  HtmlWriter Body;
  Body << "<p>";
  writePageLink(Body, Call, "/pipeline", "New pipeline");
  Body << "</p>\n<table>\n<tr><th>name</th><th>layers</th><th>pool</th>"
          "<th>max_tokens</th></tr>\n";
  for (const Pipeline &Each : Call.m_Workspace.edited().m_Pipelines) {
    Body << "<tr><td>";
    writePageLink(Body, Call, editPath({EntityKind::Pipeline, Each.m_Name, ""}),
                  Each.m_Name);
    Body << "</td><td>" << Each.m_Layers << "</td><td>" << Each.m_Pool
         << "</td><td>" << Each.m_MaxTokens << "</td></tr>\n";
  }
  Body << "</table>\n";
  return renderPage(Call, "Pipelines", Body);
}

ConsoleResponse PipelinePages::open(PageCall &Call) {
  Document Edited = Call.m_Workspace.edited();
  Pipeline Value = editor().openEntity(Call.input(), Edited);
  FieldFindings Findings;
  if (!Value.m_Name.empty())
    Findings = editor().entityFindings(Edited, Value.m_Name);
  return editor().render(Call, Value.m_Name, Value, {}, Findings);
}

ConsoleResponse PipelinePages::save(PageCall &Call) {
  const std::string &Original = Call.input().required("original");
  Pipeline Value;
  FieldFindings Findings;
  readFields(Call.input(), pipelineFields(), editor().prefix(), Value,
             Findings);
  Document Edited = Call.m_Workspace.edited();
  editor().replace(Edited, Original, Value, Findings);
  if (!Findings.empty())
    return editor().render(Call, Original, Value, Call.input(), Findings);
  Call.m_Workspace.edit(Edited);
  return ReviewPage::afterEdit(Call, {});
}

ConsoleResponse PipelinePages::remove(PageCall &Call) {
  return editor().remove(Call);
}

} // namespace parsleyring
