#include "console/ListPages.h"

#include "console/FindingLocation.h"
#include "console/ReviewPage.h"
#include "console/RowTable.h"

#include <set>

namespace parsleyring {

static const RowTable<Link> &linkTable() {
  static const RowTable<Link> Table("link", linkFields());
  return Table;
}

static const RowTable<IdempotencyRule> &ruleTable() {
  static const RowTable<IdempotencyRule> Table("rule", ruleFields());
  return Table;
}

template <typename Entity>
static ConsoleResponse
render(PageCall &Call, const char *Title, const char *Path, const char *Hint,
       const RowTable<Entity> &Table, const std::vector<Entity> &Values,
       const FormData &Entered, const FieldFindings &Findings) {
  HtmlWriter Body;
  if (!Findings.empty())
    Body << "<p class=\"finding\">" << formatCount(Findings.size(), "finding")
         << "</p>\n";
  Body << "<p>" << std::string(Hint) << " Blank rows are left out.</p>\n";
  Table.write(Body, Values, Entered, Findings);
  Body << "<p><button formaction=\"" << std::string(Path)
       << "\">Review</button></p>\n";
  return renderEditPage(Call, Title, Body, Findings.empty() ? 200 : 422);
}

static ConsoleResponse renderLinks(PageCall &Call,
                                   const std::vector<Link> &Values,
                                   const FormData &Entered,
                                   const FieldFindings &Findings) {
  return render(Call, "Links", "/links/save",
                "Delays between failure domains, one way.", linkTable(), Values,
                Entered, Findings);
}

static ConsoleResponse renderRules(PageCall &Call,
                                   const std::vector<IdempotencyRule> &Values,
                                   const FormData &Entered,
                                   const FieldFindings &Findings) {
  return render(Call, "Rules", "/rules/save",
                "The first rule that matches a call of a service pool decides; "
                "without one a call is idempotent.",
                ruleTable(), Values, Entered, Findings);
}

/// Findings of the document checker about a table, by input name.
template <typename Entity>
static FieldFindings tableFindings(const Document &Edited, EntityKind Kind,
                                   const RowTable<Entity> &Table) {
  FieldFindings Messages;
  for (const Finding &Each : DocumentChecker().check(Edited)) {
    auto Location = locateFinding(Edited, Each.m_Key);
    if (Location && Location->m_Entity.m_Kind == Kind)
      Messages.emplace(Table.inputName(Location->m_Index, Location->m_Field),
                       Each.m_Message);
  }
  return Messages;
}

ConsoleResponse ListPages::openLinks(PageCall &Call) {
  Document Edited = Call.m_Workspace.edited();
  return renderLinks(Call, Edited.m_Links, {},
                     tableFindings(Edited, EntityKind::Link, linkTable()));
}

ConsoleResponse ListPages::saveLinks(PageCall &Call) {
  FieldFindings Findings;
  std::vector<Link> Values = linkTable().read(Call.input(), Findings);
  // Drafts identify links by their ends, so each pair may occur only once.
  std::set<std::pair<std::string, std::string>> Ends;
  for (const Link &Each : Values)
    if (!Ends.insert({Each.m_From, Each.m_To}).second)
      Findings.emplace(linkTable().inputName(0, "from"),
                       "the link from " + Each.m_From + " to " + Each.m_To +
                           " occurs more than once");
  if (!Findings.empty())
    return renderLinks(Call, Values, Call.input(), Findings);
  Document Edited = Call.m_Workspace.edited();
  Edited.m_Links = std::move(Values);
  Call.m_Workspace.edit(Edited);
  return ReviewPage::afterEdit(Call, {});
}

ConsoleResponse ListPages::openRules(PageCall &Call) {
  Document Edited = Call.m_Workspace.edited();
  return renderRules(Call, Edited.m_Rules, {},
                     tableFindings(Edited, EntityKind::Rules, ruleTable()));
}

ConsoleResponse ListPages::saveRules(PageCall &Call) {
  FieldFindings Findings;
  std::vector<IdempotencyRule> Values =
      ruleTable().read(Call.input(), Findings);
  if (!Findings.empty())
    return renderRules(Call, Values, Call.input(), Findings);
  Document Edited = Call.m_Workspace.edited();
  Edited.m_Rules = std::move(Values);
  Call.m_Workspace.edit(Edited);
  return ReviewPage::afterEdit(Call, {});
}

} // namespace parsleyring
