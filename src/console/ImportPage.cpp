#include "console/ImportPage.h"

#include "console/Console.h"
#include "console/ReviewPage.h"
#include "core/TomlSection.h"
#include "document/DocumentReader.h"
#include "document/DocumentWriter.h"

#include <unordered_map>
#include <unordered_set>

namespace parsleyring {

/// Shown as the file name in findings.
static const std::string SourceName = "text";
static const std::string ReplaceMode = "replace";
static const std::string MergeMode = "merge";
/// Leaves 4096 bytes for the other fields of a form that carries a draft.
static constexpr std::size_t MaxDraftBytes = Console::MaxFormBytes - 4096;

static ConsoleResponse render(PageCall &Call, const std::string &Text,
                              const std::string &Mode,
                              const std::vector<Finding> &Findings) {
  HtmlWriter Body;
  if (!Findings.empty())
    Body << "<p class=\"finding\">Nothing was taken over: "
         << formatCount(Findings.size(), "finding") << "</p>\n";
  writeFindings(Body, Findings);
  auto Choice = [&](const std::string &Value, const char *Label) {
    Body << "<p><label><input type=\"radio\" name=\"mode\" value=\"" << Value
         << "\"";
    if (Value == Mode)
      Body << " checked";
    Body << "> " << std::string(Label) << "</label></p>\n";
  };
  Choice(ReplaceMode, "The text is the whole document; what is not in it is "
                      "removed.");
  Choice(MergeMode, "Add and change what is in the text; keep all else. A "
                    "pool replaces its endpoints, and rules replace all "
                    "rules.");
  Body << "<p><label>Document (TOML)<br><textarea name=\"text\" rows=\"30\" "
          "spellcheck=\"false\">\n"
       << Text
       << "</textarea></label></p>\n"
          "<p><button formaction=\"/import/review\">Review</button>";
  if (Call.m_Workspace.head())
    Body << " <a href=\"/document.toml\">Document in force</a>";
  Body << "</p>\n";
  return renderEditPage(Call, "Import", Body, Findings.empty() ? 200 : 422);
}

ConsoleResponse ImportPage::show(PageCall &Call) {
  return render(Call, "", ReplaceMode, {});
}

/// Adds the entities of From to Into, or replaces those with the same key. Adds
/// a finding if an entity occurs twice in From.
template <typename Entity, typename KeyOf>
static void mergeEach(const char *Kind, const std::vector<Entity> &From,
                      KeyOf MakeKey, std::vector<Entity> &Into,
                      std::vector<Finding> &Findings) {
  std::unordered_map<std::string, std::size_t> IndexByKey;
  for (std::size_t At = 0; At < Into.size(); ++At)
    IndexByKey.emplace(MakeKey(Into[At]), At);
  std::unordered_set<std::string> Seen;
  for (const Entity &Each : From) {
    std::string Key = MakeKey(Each);
    if (!Seen.insert(Key).second)
      Findings.push_back({SourceName, 0, std::string(Kind) + " " + Key,
                          "occurs more than once in the text"});
    auto [KeyAndIndex, IsNew] = IndexByKey.try_emplace(Key, Into.size());
    if (IsNew)
      Into.push_back(Each);
    else
      Into[KeyAndIndex->second] = Each;
  }
}

static void merge(const std::string &Text, const Document &Parsed,
                  Document &Into, std::vector<Finding> &Findings) {
  auto NameOf = [](const auto &Each) { return Each.m_Name; };
  std::vector<Finding> Ignored;
  if (TomlText(SourceName, Text, Ignored).root().has("policy"))
    Into.m_Policy = Parsed.m_Policy;
  if (!Parsed.m_Rules.empty())
    Into.m_Rules = Parsed.m_Rules;
  mergeEach("pipeline", Parsed.m_Pipelines, NameOf, Into.m_Pipelines, Findings);
  mergeEach("pool", Parsed.m_Pools, NameOf, Into.m_Pools, Findings);
  mergeEach(
      "link", Parsed.m_Links,
      [](const Link &Each) { return Each.m_From + " to " + Each.m_To; },
      Into.m_Links, Findings);
  mergeEach("account", Parsed.m_Accounts, NameOf, Into.m_Accounts, Findings);
}

ConsoleResponse ImportPage::review(PageCall &Call) {
  const std::string &Text = Call.input().required("text");
  const std::string &Mode = Call.input().required("mode");
  Workspace &Work = Call.m_Workspace;
  if (Mode != ReplaceMode && Mode != MergeMode)
    throw FormError("field \"mode\" must be \"" + ReplaceMode + "\" or \"" +
                    MergeMode + "\"");
  std::vector<Finding> Findings;
  if (Mode == MergeMode && Work.isDamaged())
    Findings.push_back({"", 0, "mode",
                        "the document in the platform is "
                        "damaged; only a whole one can be "
                        "imported"});
  DocumentReader Reader;
  Reader.add(SourceName, Text, Findings);
  if (Mode == ReplaceMode)
    Reader.check(DocumentChecker(), Findings);
  Document Edited = Mode == MergeMode ? Work.edited() : Reader.document();
  if (Mode == MergeMode)
    merge(Text, Reader.document(), Edited, Findings);
  if (!Findings.empty())
    return render(Call, Text, Mode, Findings);
  Work.edit(Edited);
  if (Work.draft().encode().size() > MaxDraftBytes)
    return render(Call, Text, Mode,
                  {{"", 0, "text",
                    "the change is too large for one form; import it in parts "
                    "that add to the document"}});
  return ReviewPage::afterEdit(Call, {});
}

ConsoleResponse ImportPage::download(PageCall &Call) {
  ConsoleResponse Response;
  Response.m_ContentType = "text/plain; charset=utf-8";
  Response.m_Body = DocumentWriter::write(Call.m_Workspace.inForce());
  return Response;
}

} // namespace parsleyring
