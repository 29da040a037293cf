#include "console/AccountPages.h"

#include "console/Base64Url.h"
#include "console/Cryptography.h"
#include "console/EntityEditor.h"
#include "document/DocumentWriter.h"

#include <charconv>

namespace parsleyring {

static constexpr std::size_t KeyBytes = 32;

static const EntityEditor<ClientAccount> &editor() {
  static const EntityEditor<ClientAccount> Editor(
      EntityKind::Account, &Document::m_Accounts, accountFields());
  return Editor;
}

/// Search matches a part of the account's name or the start of a key's SHA-256.
static bool matchesSearch(const ClientAccount &Account,
                          const std::string &Search) {
  if (Account.m_Name.find(Search) != std::string::npos)
    return true;
  return std::any_of(Account.m_KeySha256.begin(), Account.m_KeySha256.end(),
                     [&](const std::string &Hash) {
                       return Hash.compare(0, Search.size(), Search) == 0;
                     });
}

static std::size_t firstRow(const FormData &Input) {
  const std::string &Text = Input.value("from");
  std::size_t First = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), First);
  return First;
}

static void writeRows(HtmlWriter &Out, const PageCall &Call,
                      const std::vector<const ClientAccount *> &Found,
                      std::size_t First, std::size_t End) {
  Out << "<table>\n<tr><th>name</th><th>keys</th><th>share</th>"
         "<th>requests_per_second</th><th>max_outstanding</th></tr>\n";
  for (std::size_t At = First; At < End; ++At) {
    const ClientAccount &Each = *Found[At];
    Out << "<tr><td>";
    writePageLink(Out, Call, editPath({EntityKind::Account, Each.m_Name, ""}),
                  Each.m_Name);
    Out << "</td><td>" << Each.m_KeySha256.size() << "</td>";
    for (const FormField<ClientAccount> &Field : accountFields())
      if (Field.m_Key != "name" && !Field.m_IsMultiline)
        Out << "<td>" << Field.m_Format(Each) << "</td>";
    Out << "</tr>\n";
  }
  Out << "</table>\n";
}

ConsoleResponse AccountPages::list(PageCall &Call) {
  const std::string &Search = Call.input().value("search");
  Document Edited = Call.m_Workspace.edited();
  std::vector<const ClientAccount *> Found;
  for (const ClientAccount *Each : sortedAccounts(Edited.m_Accounts))
    if (matchesSearch(*Each, Search))
      Found.push_back(Each);
  std::size_t First = std::min(firstRow(Call.input()), Found.size());
  std::size_t End = std::min(First + RowsPerPage, Found.size());
  HtmlWriter Body;
  Body << "<p><label>Part of the name, or start of a key's SHA-256: "
          "<input name=\"search\" value=\""
       << Search
       << "\"></label> <button formaction=\"/accounts\">Search</button>\n";
  writePageLink(Body, Call, "/account", "New account");
  Body << "</p>\n<p>" << (Found.empty() ? 0 : First + 1) << " to " << End
       << " of " << formatCount(Found.size(), "account") << "\n";
  auto WritePageButton = [&](std::size_t From, const char *Label) {
    Body << "<button formaction=\"/accounts\" name=\"from\" value=\"" << From
         << "\">" << std::string(Label) << "</button>\n";
  };
  if (First > 0)
    WritePageButton(First - std::min(First, RowsPerPage), "Previous");
  if (End < Found.size())
    WritePageButton(End, "Next");
  Body << "</p>\n";
  writeRows(Body, Call, Found, First, End);
  return renderPage(Call, "Client accounts", Body);
}

static ConsoleResponse render(PageCall &Call, const std::string &Original,
                              const ClientAccount &Value,
                              const FormData &Entered,
                              const FieldFindings &Findings) {
  HtmlWriter KeyButton;
  KeyButton << "<p><button formaction=\"/account/key\">Review with a new "
               "key</button> The key is shown once; the document holds its "
               "SHA-256 only.</p>\n";
  return editor().render(Call, Original, Value, Entered, Findings, {},
                         KeyButton);
}

ConsoleResponse AccountPages::open(PageCall &Call) {
  Document Edited = Call.m_Workspace.edited();
  ClientAccount Value = editor().openEntity(Call.input(), Edited);
  FieldFindings Findings;
  if (!Value.m_Name.empty())
    Findings = editor().entityFindings(Edited, Value.m_Name);
  return render(Call, Value.m_Name, Value, {}, Findings);
}

/// Saves the form in the draft and adds KeySha256 to the account's keys unless
/// it is empty.
static ConsoleResponse saveWith(PageCall &Call, const std::string &KeySha256,
                                const HtmlWriter &Notice) {
  const std::string &Original = Call.input().required("original");
  ClientAccount Value;
  FieldFindings Findings;
  readFields(Call.input(), accountFields(), editor().prefix(), Value, Findings);
  if (!KeySha256.empty())
    Value.m_KeySha256.push_back(KeySha256);
  Document Edited = Call.m_Workspace.edited();
  editor().replace(Edited, Original, Value, Findings);
  if (!Findings.empty())
    return render(Call, Original, Value, Call.input(), Findings);
  Call.m_Workspace.edit(Edited);
  return ReviewPage::afterEdit(Call, Notice);
}

ConsoleResponse AccountPages::save(PageCall &Call) {
  return saveWith(Call, "", {});
}

ConsoleResponse AccountPages::createKey(PageCall &Call) {
  std::string Key = encodeBase64Url(randomBytes(KeyBytes));
  HtmlWriter Notice;
  Notice << "<p>The new key of account "
         << Call.input().required("account.name") << " is <code class=\"key\">"
         << Key
         << "</code>. It is not shown again. It is valid once the draft is "
            "published.</p>\n";
  return saveWith(Call, sha256Hex(Key), Notice);
}

ConsoleResponse AccountPages::remove(PageCall &Call) {
  return editor().remove(Call);
}

} // namespace parsleyring
