#ifndef PARSLEYRING_REQUESTS_AUDITRECORDS_H
#define PARSLEYRING_REQUESTS_AUDITRECORDS_H

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"
#include "requests/PoolTable.h"
#include "requests/Request.h"
#include "requests/RequestResult.h"
#include "routing/RoutePlanner.h"

namespace parsleyring {

// Builders of the audit records. No record holds an account key, a prompt or an
// answer; an idempotency key appears only as its SHA-256.

WriteAudit admissionRecord(Time Now, const Request &Req,
                           ConfigurationVersion Version);
WriteAudit rejectionRecord(Time Now, RequestNumber Number,
                           const std::string &Account,
                           const std::string &Target,
                           const RequestResult &Result,
                           ConfigurationVersion Version);
WriteAudit routeRecord(Time Now, const Request &Req, AttemptNumber Attempt,
                       const RoutePlan &Plan, ConfigurationVersion Version,
                       std::uint64_t Seed);
/// The request reached its deadline without a route. Holds the last search.
WriteAudit failedSearchRecord(Time Now, const Request &Req,
                              const FailedSearch &Search,
                              ConfigurationVersion Version);
WriteAudit attemptEndRecord(Time Now, const Attempt &Ended,
                            const AttemptEnded &Report);
/// The router cancelled an attempt before the attempt ended.
WriteAudit abandonRecord(Time Now, const Attempt &Abandoned,
                         const std::string &Reason,
                         const std::vector<std::string> &Avoid);
WriteAudit retryRecord(Time Now, const Request &Req, const std::string &Reason,
                       bool IsResume);
WriteAudit claimRecord(Time Now, const Request &Req, const std::string &Step,
                       const std::string &Detail);
WriteAudit claimEndRecord(Time Now, RequestNumber Number, ClaimFinalState End);
WriteAudit outcomeRecord(Time Now, RequestNumber Number,
                         const RequestResult &Result, std::uint32_t Tokens,
                         Duration Elapsed);
WriteAudit leavingRecord(Time Now, const std::string &Endpoint,
                         const std::string &Incarnation, LeavingSource Source);
WriteAudit quarantineRecord(Time Now, const std::string &Endpoint,
                            const std::string &Reason, RequestNumber Number,
                            std::optional<Duration> Length);
WriteAudit configurationRecord(Time Now, const ConfigurationApplied &Applied,
                               bool IsAccepted, ConfigurationVersion InForce);
WriteAudit membershipRecord(Time Now, const PeersChanged &Change);
WriteAudit drainRecord(Time Now, std::size_t RequestsInProgress);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_AUDITRECORDS_H
