#include "console/PolicyPage.h"

#include "console/FormField.h"
#include "console/ReviewPage.h"

namespace parsleyring {

static const std::string Prefix = "policy.";

static ConsoleResponse render(PageCall &Call, const Policy &Value,
                              const FormData &Entered,
                              const FieldFindings &Findings) {
  HtmlWriter Body;
  writeFields(Body, policyFields(), Prefix, Value, Entered, Findings);
  Body << "<p><button formaction=\"/policy/save\">Review</button></p>\n";
  return renderEditPage(Call, "Policy", Body, Findings.empty() ? 200 : 422);
}

ConsoleResponse PolicyPage::open(PageCall &Call) {
  FieldFindings Findings;
  Document Edited = Call.m_Workspace.edited();
  for (const Finding &Each : DocumentChecker().check(Edited))
    if (Each.m_Key.compare(0, Prefix.size(), Prefix) == 0)
      Findings.emplace(Each.m_Key, Each.m_Message);
  return render(Call, Edited.m_Policy, {}, Findings);
}

ConsoleResponse PolicyPage::save(PageCall &Call) {
  Document Edited = Call.m_Workspace.edited();
  FieldFindings Findings;
  readFields(Call.input(), policyFields(), Prefix, Edited.m_Policy, Findings);
  if (!Findings.empty())
    return render(Call, Edited.m_Policy, Call.input(), Findings);
  Call.m_Workspace.edit(Edited);
  return ReviewPage::afterEdit(Call, {});
}

} // namespace parsleyring
