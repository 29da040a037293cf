#include "document/DocumentWriter.h"

#include "document/DocumentFields.h"

#include <algorithm>

namespace parsleyring {

void DocumentWriter::writeTable(std::string_view Header,
                                const std::vector<DocumentField> &Fields) {
  m_Text += Header;
  m_Text += '\n';
  for (const DocumentField &Field : Fields) {
    m_Text += Field.m_Key;
    m_Text += " = ";
    m_Text += Field.m_Value;
    m_Text += '\n';
  }
  m_Text += '\n';
}

void DocumentWriter::write(const Policy &Value) {
  writeTable("[policy]", fields(Value));
}

void DocumentWriter::write(const ClientAccount &Value) {
  writeTable("[[account]]", fields(Value));
}

void DocumentWriter::write(const Pipeline &Value) {
  writeTable("[[pipeline]]", fields(Value));
}

void DocumentWriter::write(const Pool &Value) {
  writeTable("[[pool]]", fields(Value));
  for (const EndpointSpec &Each : Value.m_Endpoints)
    writeTable("[[pool.endpoint]]", fields(Each, Value.m_Kind));
}

void DocumentWriter::write(const IdempotencyRule &Value) {
  writeTable("[[rule]]", fields(Value));
}

void DocumentWriter::write(const Link &Value) {
  writeTable("[[link]]", fields(Value));
}

std::vector<const ClientAccount *>
sortedAccounts(const std::vector<ClientAccount> &Accounts) {
  std::vector<const ClientAccount *> Sorted;
  Sorted.reserve(Accounts.size());
  for (const ClientAccount &Account : Accounts)
    Sorted.push_back(&Account);
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const ClientAccount *Left, const ClientAccount *Right) {
                     return Left->m_Name < Right->m_Name;
                   });
  return Sorted;
}

std::string DocumentWriter::write(const Document &Value) {
  DocumentWriter Writer;
  Writer.write(Value.m_Policy);
  Writer.writeAll(Value.m_Pipelines);
  Writer.writeAll(Value.m_Pools);
  Writer.writeAll(Value.m_Rules);
  Writer.writeAll(Value.m_Links);
  for (const ClientAccount *Account : sortedAccounts(Value.m_Accounts))
    Writer.write(*Account);
  return Writer.takeText();
}

} // namespace parsleyring
