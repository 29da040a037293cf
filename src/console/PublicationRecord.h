#ifndef PARSLEYRING_CONSOLE_PUBLICATIONRECORD_H
#define PARSLEYRING_CONSOLE_PUBLICATIONRECORD_H

#include "console/PageCall.h"

namespace parsleyring {

/// Writes the audit records of one publication. Differences contain hashes of
/// keys, never keys.
class PublicationRecord {
public:
  /// Call must outlive the record.
  PublicationRecord(const PageCall &Call, std::string Submission)
      : m_Call(Call), m_Submission(std::move(Submission)),
        m_BaseVersion(Call.m_Workspace.draft().base().m_Version) {}

  void writeStart(const std::vector<std::string> &Difference) const;
  /// Also counts the result in the metrics. Version is 0 unless published.
  void write(PublicationStatus Status, ConfigurationVersion Version,
             const std::vector<std::string> &Difference) const;

  /// Records a publish request with an invalid form token.
  static void writeForgery(const ConsoleContext &Context, Time Now,
                           const ConsoleRequest &Request,
                           const std::string &Operator);

private:
  void write(const std::string &Event, const std::string &Status,
             ConfigurationVersion Version,
             const std::vector<std::string> &Difference) const;

  const PageCall &m_Call;
  const std::string m_Submission;
  const ConfigurationVersion m_BaseVersion;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_PUBLICATIONRECORD_H
