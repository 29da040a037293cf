#ifndef PARSLEYRING_CONSOLE_FORMFIELD_H
#define PARSLEYRING_CONSOLE_FORMFIELD_H

#include "parsleyring/Document.h"

#include "console/FormData.h"
#include "console/HtmlWriter.h"

#include <functional>
#include <map>

namespace parsleyring {

/// Error messages by the name of the input that they are shown next to.
using FieldFindings = std::map<std::string, std::string>;

/// One input of a form, bound to a member of an entity.
template <typename Entity> struct FormField {
  std::string m_Key; ///< Key of the field in the document.
  std::string m_Hint;
  /// Formats the member as text.
  std::function<std::string(const Entity &)> m_Format;
  /// Parses an entered text into the member. Returns an error message, or an
  /// empty string.
  std::function<std::string(Entity &, const std::string &)> m_Parse;
  std::vector<std::string> m_Choices; ///< Empty: free text.
  bool m_IsMultiline = false;
};

const std::vector<FormField<Policy>> &policyFields();
const std::vector<FormField<ClientAccount>> &accountFields();
const std::vector<FormField<Pipeline>> &pipelineFields();
const std::vector<FormField<Pool>> &poolFields();
const std::vector<FormField<EndpointSpec>> &endpointFields();
const std::vector<FormField<IdempotencyRule>> &ruleFields();
const std::vector<FormField<Link>> &linkFields();

/// Writes one input element: a text area, a selection if there are Choices, or
/// a text input.
void writeInput(HtmlWriter &Out, const std::string &Name,
                const std::string &Value,
                const std::vector<std::string> &Choices, bool IsMultiline);
/// Writes the message of the input Name, if there is one.
void writeFieldFinding(HtmlWriter &Out, const FieldFindings &Findings,
                       const std::string &Name);

/// Writes the inputs of one entity as rows of label, input and finding. An
/// input shows the text in Entered if it is there, else the value's field.
template <typename Entity>
void writeFields(HtmlWriter &Out, const std::vector<FormField<Entity>> &Fields,
                 const std::string &Prefix, const Entity &Value,
                 const FormData &Entered, const FieldFindings &Findings) {
  Out << "<table>\n";
  for (const FormField<Entity> &Each : Fields) {
    std::string Name = Prefix + Each.m_Key;
    Out << "<tr><th><label for=\"" << Name << "\">" << Each.m_Key
        << "</label></th><td>";
    writeInput(Out, Name,
               Entered.has(Name) ? Entered.value(Name) : Each.m_Format(Value),
               Each.m_Choices, Each.m_IsMultiline);
    Out << "</td><td>" << Each.m_Hint;
    writeFieldFinding(Out, Findings, Name);
    Out << "</td></tr>\n";
  }
  Out << "</table>\n";
}

/// Reads the inputs of one entity into Value; adds a message to Findings for
/// each text that cannot be parsed. Throws FormError if an input is missing.
template <typename Entity>
void readFields(const FormData &Entered,
                const std::vector<FormField<Entity>> &Fields,
                const std::string &Prefix, Entity &Value,
                FieldFindings &Findings) {
  for (const FormField<Entity> &Each : Fields) {
    std::string Name = Prefix + Each.m_Key;
    std::string Problem = Each.m_Parse(Value, Entered.required(Name));
    if (!Problem.empty())
      Findings[Name] = Problem;
  }
}

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_FORMFIELD_H
