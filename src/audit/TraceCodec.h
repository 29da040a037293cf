#ifndef PARSLEYRING_AUDIT_TRACECODEC_H
#define PARSLEYRING_AUDIT_TRACECODEC_H

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"
#include "parsleyring/Router.h"

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace parsleyring {

/// A trace line that cannot be parsed.
class TraceError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Writes and reads the events of a Router as fields of audit records.
/// Idempotency keys are written as their SHA-256 only.
class TraceCodec {
public:
  using DocumentToText = std::function<std::string(const Document &)>;
  /// Throws if the text is not a valid document.
  using DocumentFromText =
      std::function<std::shared_ptr<const Document>(const std::string &)>;

  TraceCodec(DocumentToText ToText, DocumentFromText FromText);

  /// Returns the record of an event, a JSON object {event, fields}.
  WriteAudit encode(Time Now, const Event &Input) const;
  /// Parses the fields of such a record; throws TraceError.
  Event decode(const std::string &FieldsJson) const;

  /// Returns the first record of a trace: the options of the Router.
  static WriteAudit encodeStart(Time Now, const RouterOptions &Options);
  /// Returns nullopt if the fields are not those of a first record.
  static std::optional<RouterOptions> decodeStart(const std::string &FieldsJson,
                                                  const Incarnation &Self);

private:
  DocumentToText m_DocumentToText;
  DocumentFromText m_DocumentFromText;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_TRACECODEC_H
