#include "console/ReviewPage.h"

#include "console/Cryptography.h"
#include "console/FindingLocation.h"
#include "console/OverviewPage.h"
#include "console/PublicationRecord.h"
#include "document/DocumentDifference.h"

namespace parsleyring {

static constexpr std::size_t NonceBytes = 16;
static constexpr std::size_t SubmissionIdDigits = 32;

/// The same form gives the same id, so a form that is sent again, even to
/// another console, is published once.
static std::string submissionId(const std::string &Nonce,
                                const std::string &EncodedDraft) {
  return sha256Hex(Nonce + "\n" + EncodedDraft).substr(0, SubmissionIdDigits);
}

/// Writes the button that publishes the draft, and its hidden fields.
static void writePublishButton(HtmlWriter &Out, const PageCall &Call,
                               const std::string &Nonce, const char *Label) {
  Out.hiddenInput("publish_token", Call.m_Context.m_Sessions.formToken(
                                       Call.m_Session, FormPurpose::Publish));
  Out.hiddenInput("nonce", Nonce);
  Out << "<p><button formaction=\"/publish\">" << std::string(Label)
      << "</button></p>\n";
}

static void writeDifference(HtmlWriter &Out,
                            const std::vector<std::string> &Lines) {
  Out << "<h2>Difference from the version in force</h2>\n";
  writeLines(Out, Lines);
}

static ConsoleResponse render(PageCall &Call, const HtmlWriter &Notice,
                              int Status) {
  const Workspace &Work = Call.m_Workspace;
  HtmlWriter Body;
  Body << Notice;
  if (Work.draft().isEmpty()) {
    Body << "<p>The draft is equal to the version in force. There is nothing "
            "to publish.</p>\n";
    return renderPage(Call, "Review", Body, Status);
  }
  Document Edited = Work.edited();
  std::vector<Finding> Findings = DocumentChecker().check(Edited);
  if (!Findings.empty()) {
    Body << "<p class=\"finding\">The draft cannot be published: "
         << formatCount(Findings.size(), "finding") << "</p>\n";
    writeFindingsWithValues(Body, Edited, Findings);
  }
  writeDifference(Body, documentDifference(Work.inForce(), Edited));
  if (Findings.empty()) {
    Body << "<p>This becomes version " << Work.version() + 1 << ".</p>\n";
    writePublishButton(Body, Call, toHex(randomBytes(NonceBytes)), "Publish");
  }
  bool IsInvalid = Status == 200 && !Findings.empty();
  return renderPage(Call, "Review", Body, IsInvalid ? 422 : Status);
}

ConsoleResponse ReviewPage::show(PageCall &Call) {
  return render(Call, {}, 200);
}

ConsoleResponse ReviewPage::afterEdit(PageCall &Call,
                                      const HtmlWriter &Notice) {
  if (Call.m_Workspace.isOutdated())
    return conflict(Call, Notice);
  return render(Call, Notice, 200);
}

static void writeHead(HtmlWriter &Out, const ConfigurationHead &Head) {
  Out << "version " << Head.m_Version << ", published by " << Head.m_Author
      << " at " << formatTime(Head.m_PublishedAtMillis);
}

/// Writes the changes between the draft's base and the version in force.
static void writeChangesSince(HtmlWriter &Out, const PageCall &Call) {
  const Workspace &Work = Call.m_Workspace;
  std::shared_ptr<const Document> Base;
  if (!Work.draft().base().m_HeadJson.empty())
    Base =
        readDocument(Call.m_Context.m_Platform, Work.draft().base().m_HeadJson);
  Out << "<h2>Changed since version " << Work.draft().base().m_Version
      << "</h2>\n";
  if (Base)
    writeLines(Out, documentDifference(*Base, Work.inForce()));
  else
    Out << "<p>The document of that version cannot be read any more.</p>\n";
}

ConsoleResponse ReviewPage::conflict(PageCall &Call, const HtmlWriter &Notice) {
  const Workspace &Work = Call.m_Workspace;
  if (Work.isDamaged())
    return OverviewPage::damaged(Call);
  HtmlWriter Body;
  Body << Notice;
  Body << "<p class=\"finding\">Nothing was published: the configuration "
          "changed while you were editing. In force is ";
  if (Work.head())
    writeHead(Body, *Work.head());
  else
    Body << "none; the configuration was removed";
  Body << ".</p>\n";
  writeChangesSince(Body, Call);
  std::vector<std::string> Conflicts;
  for (const EntityId &Id : Work.draft().conflicts(Work.inForce()))
    Conflicts.push_back(toString(Id));
  if (Conflicts.empty()) {
    Body << "<p>Your changes touch other entities. They can be applied as they "
            "are:</p>\n<p><button formaction=\"/rebase\">Apply the same edit "
            "to version "
         << Work.version() << "</button></p>\n";
  } else {
    Body << "<h2>Changed by both</h2>\n";
    writeLines(Body, Conflicts);
    Body << "<p>Your changes of these entities have to be entered again. All "
            "others can be applied as they are:</p>\n"
            "<p><button formaction=\"/rebase\">Apply my other changes to "
            "version "
         << Work.version() << "</button></p>\n";
  }
  Body << "<h2>Your changes</h2>\n<pre>" << Work.draft().toToml() << "</pre>\n";
  return renderPage(Call, "Conflict", Body, 409);
}

ConsoleResponse ReviewPage::rebase(PageCall &Call) {
  Workspace &Work = Call.m_Workspace;
  HtmlWriter Notice;
  std::vector<std::string> Conflicts;
  for (const EntityId &Id : Work.draft().conflicts(Work.inForce()))
    Conflicts.push_back(toString(Id));
  if (!Conflicts.empty()) {
    Notice << "<p class=\"finding\">Left out, because another operator changed "
              "them as well:</p>\n";
    writeLines(Notice, Conflicts);
    Notice << "<p>What you had entered:</p>\n<pre>" << Work.draft().toToml()
           << "</pre>\n";
  }
  Work.rebase();
  return render(Call, Notice, 200);
}

/// Page for a successful publication.
static ConsoleResponse published(PageCall &Call, ConfigurationVersion Version) {
  Call.m_Workspace.setDraft(Draft());
  HtmlWriter Body;
  Body
      << "<p>Published as version <strong id=\"version\">" << Version
      << "</strong>. The routers take it over within seconds.</p>\n"
         "<p><a href=\"/rollout\">Rollout</a> <a href=\"/\">Overview</a></p>\n";
  return renderPage(Call, "Published", Body);
}

/// Page for a publication that failed or whose result is unknown. Keeps the
/// draft and the nonce, so the same form can be sent again.
static ConsoleResponse notPublished(PageCall &Call,
                                    const PublicationResult &Result) {
  HtmlWriter Body;
  if (Result.m_Status == PublicationStatus::Unknown)
    Body << "<p class=\"finding\">It is not known whether the version was "
            "published: the platform does not answer any more. Try again to "
            "settle it; the change takes effect once at most.</p>\n";
  else
    Body << "<p class=\"finding\">Nothing was published: the platform cannot "
            "be used. Your changes are kept in this page.</p>\n";
  Body << "<p>" << Result.m_Message << "</p>\n";
  writePublishButton(Body, Call, Call.input().required("nonce"), "Try again");
  writeDifference(Body, documentDifference(Call.m_Workspace.inForce(),
                                           Call.m_Workspace.edited()));
  return renderPage(Call, "Not published", Body, 503);
}

ConsoleResponse ReviewPage::publish(PageCall &Call) {
  Workspace &Work = Call.m_Workspace;
  const std::string Submission = submissionId(Call.input().required("nonce"),
                                              Call.input().required("draft"));
  if (Work.draft().isEmpty())
    throw FormError("field \"draft\" has no changes");
  PublicationRecord Record(Call, Submission);
  // The same form was already published, perhaps through another console.
  auto Version =
      Work.head() ? Work.head()->versionOf(Submission) : std::nullopt;
  if (Version) {
    Record.write(PublicationStatus::Published, *Version, {});
    return published(Call, *Version);
  }
  if (Work.isOutdated()) {
    Record.write(PublicationStatus::Conflict, 0, {});
    return conflict(Call);
  }
  Publication NewPublication;
  NewPublication.m_Document = Work.edited();
  NewPublication.m_BaseVersion = Work.draft().base().m_Version;
  NewPublication.m_Author = Call.m_Operator;
  NewPublication.m_Submission = Submission;
  NewPublication.m_RewritesAllChunks = Work.isDamaged();
  std::vector<std::string> Difference =
      documentDifference(Work.inForce(), NewPublication.m_Document);
  // This record remains if the console ends before the result is known.
  Record.writeStart(Difference);
  PublicationResult Result =
      Call.m_Context.m_Publisher.publish(Call.m_Now, NewPublication);
  Record.write(Result.m_Status, Result.m_Version, Difference);
  switch (Result.m_Status) {
  case PublicationStatus::Published:
    return published(Call, Result.m_Version);
  case PublicationStatus::Conflict: {
    Workspace Newer(Call.m_Context.m_Publisher.load());
    Newer.setDraft(Work.draft());
    Work = std::move(Newer);
    return conflict(Call);
  }
  case PublicationStatus::Invalid: {
    HtmlWriter Notice;
    Notice << "<p class=\"finding\">Nothing was published:</p>\n";
    writeFindings(Notice, Result.m_Findings);
    return render(Call, Notice, 422);
  }
  default:
    return notPublished(Call, Result);
  }
}

void ReviewPage::recordForgery(const ConsoleContext &Context, Time Now,
                               const ConsoleRequest &Request,
                               const std::string &Operator) {
  PublicationRecord::writeForgery(Context, Now, Request, Operator);
}

} // namespace parsleyring
