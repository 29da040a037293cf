#ifndef PARSLEYRING_DOCUMENT_DOCUMENTWRITER_H
#define PARSLEYRING_DOCUMENT_DOCUMENTWRITER_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// Writes canonical TOML: documents of equal content have equal text. Keys are
/// in a fixed order and include defaults; accounts are sorted by name.
class DocumentWriter {
public:
  const std::string &text() const { return m_Text; }
  std::string takeText() { return std::move(m_Text); }

  void write(const Policy &Value);
  void write(const ClientAccount &Value);
  void write(const Pipeline &Value);
  void write(const Pool &Value);
  void write(const IdempotencyRule &Value);
  void write(const Link &Value);
  template <typename Entity> void writeAll(const std::vector<Entity> &Values) {
    for (const Entity &Value : Values)
      write(Value);
  }

  static std::string write(const Document &Value);

private:
  void writeTable(std::string_view Header,
                  const std::vector<struct DocumentField> &Fields);

  std::string m_Text;
};

/// Returns the accounts sorted by name.
std::vector<const ClientAccount *>
sortedAccounts(const std::vector<ClientAccount> &Accounts);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTWRITER_H
