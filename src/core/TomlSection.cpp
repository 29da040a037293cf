#include "core/TomlSection.h"

#include "core/TomlNesting.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>

namespace parsleyring {

struct TomlSection::Context {
  std::string m_File;
  std::vector<Finding> *m_Findings = nullptr;
};

struct TomlText::Parsed {
  TomlSection::Context m_Context;
  toml::table m_Root;
  bool m_IsParsed = false;
};

static const toml::table *asTable(const void *Table) {
  return static_cast<const toml::table *>(Table);
}

static const toml::node *asNode(const void *Node) {
  return static_cast<const toml::node *>(Node);
}

static const toml::node *findNode(const void *Table, std::string_view Key) {
  return Table ? asTable(Table)->get(Key) : nullptr;
}

static int lineOf(const toml::node *Node) {
  return Node ? static_cast<int>(Node->source().begin.line) : 0;
}

std::string TomlSection::path(std::string_view Key) const {
  if (m_Path.empty())
    return std::string(Key);
  return Key.empty() ? m_Path : m_Path + "." + std::string(Key);
}

bool TomlSection::has(std::string_view Key) const {
  return findNode(m_Table, Key) != nullptr;
}

int TomlSection::line(std::string_view Key) const {
  if (const toml::node *Node = findNode(m_Table, Key))
    return lineOf(Node);
  return m_Table ? lineOf(asTable(m_Table)) : 0;
}

void TomlSection::report(std::string_view Key, const std::string &Message) {
  m_Context->m_Findings->push_back(
      {m_Context->m_File, line(Key), path(Key), Message});
}

const void *TomlSection::find(std::string_view Key, Presence KeyPresence) {
  m_KnownKeys.push_back(Key);
  const toml::node *Node = findNode(m_Table, Key);
  if (!Node && KeyPresence == Presence::Required)
    report(Key, "is required");
  return Node;
}

bool TomlSection::readString(std::string_view Key, std::string &Value,
                             Presence KeyPresence) {
  const toml::node *Node = asNode(find(Key, KeyPresence));
  if (!Node)
    return false;
  const auto *Text = Node->as_string();
  if (!Text) {
    report(Key, "must be a string");
    return false;
  }
  Value = Text->get();
  return true;
}

bool TomlSection::readStrings(std::string_view Key,
                              std::vector<std::string> &Values,
                              Presence KeyPresence) {
  const toml::node *Node = asNode(find(Key, KeyPresence));
  if (!Node)
    return false;
  if (const auto *Text = Node->as_string()) {
    Values = {Text->get()};
    return true;
  }
  const toml::array *Array = Node->as_array();
  std::vector<std::string> Read;
  for (std::size_t Index = 0; Array && Index < Array->size(); ++Index) {
    const auto *Text = (*Array)[Index].as_string();
    if (!Text) {
      Array = nullptr;
      break;
    }
    Read.push_back(Text->get());
  }
  if (!Array) {
    report(Key, "must be a string or an array of strings");
    return false;
  }
  Values = std::move(Read);
  return true;
}

bool TomlSection::readBoolean(std::string_view Key, bool &Value) {
  const toml::node *Node = asNode(find(Key, Presence::Optional));
  if (!Node)
    return false;
  const auto *Flag = Node->as_boolean();
  if (!Flag) {
    report(Key, "must be true or false");
    return false;
  }
  Value = Flag->get();
  return true;
}

bool TomlSection::readNumber(std::string_view Key, double &Value) {
  const toml::node *Node = asNode(find(Key, Presence::Optional));
  if (!Node)
    return false;
  if (!Node->is_number()) {
    report(Key, "must be a number");
    return false;
  }
  Value = *Node->value<double>();
  return true;
}

std::optional<std::int64_t> TomlSection::integer(std::string_view Key,
                                                 std::int64_t Min,
                                                 std::int64_t Max,
                                                 Presence KeyPresence) {
  const toml::node *Node = asNode(find(Key, KeyPresence));
  if (!Node)
    return std::nullopt;
  const auto *Number = Node->as_integer();
  if (Number && Number->get() >= Min && Number->get() <= Max)
    return Number->get();
  report(Key, "must be an integer from " + std::to_string(Min) + " to " +
                  std::to_string(Max));
  return std::nullopt;
}

TomlSection TomlSection::section(std::string_view Key) {
  const toml::node *Node = asNode(find(Key, Presence::Optional));
  TomlSection Section;
  Section.m_Context = m_Context;
  Section.m_Path = path(Key);
  if (Node && !Node->is_table())
    report(Key, "must be a table");
  else if (Node)
    Section.m_Table = Node->as_table();
  return Section;
}

std::vector<TomlSection> TomlSection::sections(std::string_view Key) {
  const toml::node *Node = asNode(find(Key, Presence::Optional));
  std::vector<TomlSection> Sections;
  if (!Node)
    return Sections;
  const toml::array *Array = Node->as_array();
  bool IsTableArray = Array && std::all_of(Array->begin(), Array->end(),
                                           [](const toml::node &Element) {
                                             return Element.is_table();
                                           });
  if (!IsTableArray) {
    report(Key, "must be an array of tables");
    return Sections;
  }
  Sections.resize(Array->size());
  for (std::size_t Index = 0; Index < Array->size(); ++Index) {
    Sections[Index].m_Context = m_Context;
    Sections[Index].m_Table = (*Array)[Index].as_table();
    Sections[Index].m_Path = path(Key) + "[" + std::to_string(Index) + "]";
  }
  return Sections;
}

void TomlSection::reportUnknownKeys() {
  if (!m_Table)
    return;
  for (const auto &[Key, Node] : *asTable(m_Table)) {
    if (std::find(m_KnownKeys.begin(), m_KnownKeys.end(), Key.str()) !=
        m_KnownKeys.end())
      continue;
    std::string Message = "is unknown; allowed here:";
    for (std::string_view KnownKey : m_KnownKeys)
      Message += " " + std::string(KnownKey);
    report(Key.str(), Message);
  }
}

TomlText::TomlText(const std::string &File, std::string_view Text,
                   std::vector<Finding> &Findings)
    : m_Parsed(std::make_unique<Parsed>()) {
  m_Parsed->m_Context = {File, &Findings};
  if (int Line = lineOfTooDeepTomlKey(Text)) {
    Findings.push_back({File, Line, "",
                        "not valid here: a key has more than " +
                            std::to_string(MaxTomlDots) + " dots"});
    return;
  }
  try {
    m_Parsed->m_Root = toml::parse(Text);
    m_Parsed->m_IsParsed = true;
  } catch (const toml::parse_error &Error) {
    Findings.push_back({File, static_cast<int>(Error.source().begin.line), "",
                        "not valid TOML: " + std::string(Error.description())});
  }
}

TomlText::~TomlText() = default;

bool TomlText::isParsed() const { return m_Parsed->m_IsParsed; }

TomlSection TomlText::root() const {
  TomlSection Section;
  Section.m_Context = &m_Parsed->m_Context;
  Section.m_Table = &m_Parsed->m_Root;
  return Section;
}

int TomlText::line(std::string_view Path) const {
  const toml::node *Node = &m_Parsed->m_Root;
  int Line = 0;
  while (!Path.empty()) {
    std::size_t End = std::min(Path.find_first_of(".["), Path.size());
    const toml::node *Next = nullptr;
    if (Path.front() == '[') {
      std::size_t Close = std::min(Path.find(']'), Path.size() - 1);
      std::size_t Index = 0;
      std::from_chars(Path.data() + 1, Path.data() + Close, Index);
      if (const toml::array *Array = Node->as_array())
        Next = Array->get(Index);
      End = Close + 1;
    } else if (const toml::table *Table = Node->as_table()) {
      Next = Table->get(Path.substr(0, End));
    }
    if (!Next)
      return Line;
    Node = Next;
    Line = lineOf(Node);
    Path.remove_prefix(End);
    if (!Path.empty() && Path.front() == '.')
      Path.remove_prefix(1);
  }
  return Line;
}

} // namespace parsleyring
