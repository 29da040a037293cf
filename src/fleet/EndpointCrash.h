#ifndef PARSLEYRING_FLEET_ENDPOINTCRASH_H
#define PARSLEYRING_FLEET_ENDPOINTCRASH_H

#include "parsleyring/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// The crash of an endpoint as one VM saw it, with what may have caused it.
struct EndpointCrash {
  /// A part of prompts, or a request that is repeated.
  struct Suspect {
    std::string m_Id;
    /// Requests with the suspect that the endpoint had not answered when it
    /// crashed.
    std::uint32_t m_Requests = 0;
    /// The VM has seen an answer to a request with the suspect before.
    bool m_WasAnswered = false;
    Time m_SentAt{}; ///< Of the first of these requests; zero if unknown.
  };

  /// The suspect that stands for all requests with this fingerprint.
  static std::string requestSuspect(const std::string &Fingerprint);
  static bool isRequestSuspect(const std::string &Id);

  std::string m_Endpoint; ///< Names one incarnation of an endpoint.
  Time m_At{};
  std::vector<Suspect> m_Suspects;

  std::string encode() const;
  /// Returns nothing if Text is no encoded crash.
  static std::optional<EndpointCrash> parse(const std::string &Text);
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ENDPOINTCRASH_H
