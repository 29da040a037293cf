#include "audit/TomlTraceCodec.h"

#include "document/DocumentReader.h"
#include "document/DocumentWriter.h"

namespace parsleyring {

static std::string documentToText(const Document &Value) {
  return DocumentWriter::write(Value);
}

static std::shared_ptr<const Document>
documentFromText(const std::string &Text) {
  DocumentReader Reader;
  std::vector<Finding> Findings;
  Reader.add("trace", Text, Findings);
  if (!Findings.empty())
    throw TraceError(toString(Findings.front()));
  return std::make_shared<Document>(Reader.takeDocument());
}

TraceCodec tomlTraceCodec() { return {documentToText, documentFromText}; }

} // namespace parsleyring
