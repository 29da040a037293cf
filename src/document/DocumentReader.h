#ifndef PARSLEYRING_DOCUMENT_DOCUMENTREADER_H
#define PARSLEYRING_DOCUMENT_DOCUMENTREADER_H

#include "parsleyring/Document.h"

#include "document/DocumentChecker.h"

namespace parsleyring {

class TomlSection;

/// Reads the TOML text of a document, as a whole or part by part. Checks only
/// the schema (types, required and unknown keys); DocumentChecker checks the
/// semantics.
class DocumentReader {
public:
  /// Appends the entities of a text, which must outlive the reader.
  void add(const std::string &File, std::string_view Text,
           std::vector<Finding> &Findings);

  /// Like add(), for a text that may contain only accounts.
  void addAccounts(const std::string &File, std::string_view Text,
                   std::vector<Finding> &Findings);
  /// Like addAccounts(), for a text whose accounts are already parsed: parsing
  /// the 33,000 accounts of a large document takes 0.3 s.
  void addKnownAccounts(const std::string &File, std::string_view Text,
                        const ClientAccount *Begin, const ClientAccount *End);

  const Document &document() const { return m_Document; }
  Document takeDocument() { return std::move(m_Document); }

  /// Appends the findings of the checker with file and line, except for keys
  /// that Findings already reports. Does nothing after a syntax error, since
  /// the rest of that text is unknown.
  void check(const DocumentChecker &Checker,
             std::vector<Finding> &Findings) const;

private:
  /// One text and the number of entities of each array read before it.
  struct Source {
    std::string m_File;
    std::string_view m_Text;
    std::vector<std::size_t> m_EntitiesBefore;
  };

  using ReadTables = void (DocumentReader::*)(TomlSection &Root);

  void read(const std::string &File, std::string_view Text,
            std::vector<Finding> &Findings, ReadTables Tables);
  void readAllTables(TomlSection &Root);
  void readAccountTables(TomlSection &Root);
  std::vector<std::size_t> entityCounts() const;
  /// Adds file and line to findings of the checker. The checker counts the
  /// entities of all texts; the indexes in the keys are changed to count within
  /// the file.
  void locate(std::vector<Finding> &Findings) const;
  const Source *findSource(std::string_view Array, std::size_t &Index) const;

  Document m_Document;
  std::vector<Source> m_Sources;
  bool m_HasPolicy = false;
  bool m_HasSyntaxError = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTREADER_H
