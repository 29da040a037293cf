#ifndef PARSLEYRING_CONSOLE_ENTITYEDITOR_H
#define PARSLEYRING_CONSOLE_ENTITYEDITOR_H

#include "console/FindingLocation.h"
#include "console/FormField.h"
#include "console/PageCall.h"
#include "console/ReviewPage.h"

#include <algorithm>

namespace parsleyring {

/// Opening, saving and deleting one named entity: shared by the pages of
/// accounts, pipelines and pools.
template <typename Entity> class EntityEditor {
public:
  EntityEditor(EntityKind Kind, std::vector<Entity> Document::*List,
               const std::vector<FormField<Entity>> &Fields)
      : m_Noun(name(Kind)), m_Kind(Kind), m_List(List), m_Fields(Fields) {}

  /// The form of an entity. An empty Original means a new entity. Extra writes
  /// additional content below the fields; MoreButtons is added below the
  /// buttons; both may be empty.
  ConsoleResponse render(PageCall &Call, const std::string &Original,
                         const Entity &Value, const FormData &Entered,
                         const FieldFindings &Findings,
                         const std::function<void(HtmlWriter &)> &Extra = {},
                         const HtmlWriter &MoreButtons = {}) const {
    HtmlWriter Body;
    if (!Findings.empty())
      Body << "<p class=\"finding\">Nothing was taken over: "
           << formatCount(Findings.size(), "finding") << "</p>\n";
    Body.hiddenInput("original", Original);
    writeFields(Body, m_Fields, prefix(), Value, Entered, Findings);
    if (Extra)
      Extra(Body);
    Body << "<p><button formaction=\"/" << m_Noun
         << "/save\">Review</button>\n";
    if (!Original.empty())
      Body << "<button formaction=\"/" << m_Noun
           << "/delete\" formnovalidate>Delete</button>\n";
    Body << "</p>\n" << MoreButtons;
    std::string Title =
        Original.empty() ? "New " + m_Noun : m_Noun + " " + Original;
    return renderEditPage(Call, Title, Body, Findings.empty() ? 200 : 422);
  }

  /// The entity that the field "open" names; a new one without the field.
  /// Throws FormError if the entity does not exist.
  Entity openEntity(const FormData &Input, const Document &Edited) const {
    if (!Input.has("open"))
      return {};
    return *find(Edited, Input.value("open"));
  }

  /// Replaces the entity named Original, or adds Value if Original is empty.
  /// Adds a finding if another entity has the name. Throws FormError if there
  /// is no entity Original.
  void replace(Document &Edited, const std::string &Original,
               const Entity &Value, FieldFindings &Findings) const {
    std::vector<Entity> &List = Edited.*m_List;
    bool IsTaken = std::any_of(List.begin(), List.end(), [&](const Entity &E) {
      return E.m_Name == Value.m_Name;
    });
    if (Value.m_Name != Original && IsTaken)
      Findings.emplace(prefix() + "name", "occurs already in the document");
    if (Original.empty())
      List.push_back(Value);
    else
      List[static_cast<std::size_t>(find(Edited, Original) - List.data())] =
          Value;
  }

  ConsoleResponse remove(PageCall &Call) const {
    Document Edited = Call.m_Workspace.edited();
    std::vector<Entity> &List = Edited.*m_List;
    const Entity *Found = find(Edited, Call.input().required("original"));
    List.erase(List.begin() + (Found - List.data()));
    Call.m_Workspace.edit(Edited);
    return ReviewPage::afterEdit(Call, {});
  }

  /// Findings of the document checker about the entity, by input name.
  FieldFindings entityFindings(const Document &Edited,
                               const std::string &Name) const {
    FieldFindings Messages;
    for (const Finding &Each : DocumentChecker().check(Edited)) {
      auto Location = locateFinding(Edited, Each.m_Key);
      if (Location && Location->m_Entity.m_Kind == m_Kind &&
          Location->m_Entity.m_Name == Name)
        Messages.emplace(prefix() + Location->m_Field, Each.m_Message);
    }
    return Messages;
  }

  std::string prefix() const { return m_Noun + "."; }

private:
  const Entity *find(const Document &Edited, const std::string &Name) const {
    for (const Entity &Each : Edited.*m_List)
      if (Each.m_Name == Name)
        return &Each;
    throw FormError("there is no " + m_Noun + " \"" + Name + "\"");
  }

  const std::string m_Noun;
  const EntityKind m_Kind;
  std::vector<Entity> Document::*const m_List;
  const std::vector<FormField<Entity>> &m_Fields;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ENTITYEDITOR_H
