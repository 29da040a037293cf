#ifndef PARSLEYRING_FLEET_ENDPOINTCRASH_H
#define PARSLEYRING_FLEET_ENDPOINTCRASH_H

#include "parsleyring/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// The crash of an engine as one VM saw it, with the parts of the prompts that
/// may have caused it.
struct EndpointCrash {
  struct Suspect {
    std::string m_Id;
    /// Requests with the part that the engine had not answered when it crashed.
    std::uint32_t m_Requests = 0;
    /// The VM has seen an answer to a prompt with the part before.
    bool m_WasAnswered = false;
  };

  std::string m_Endpoint; ///< Names one incarnation of an engine.
  Time m_At{};
  std::vector<Suspect> m_Suspects;

  std::string encode() const;
  /// Returns nothing if Text is no encoded crash.
  static std::optional<EndpointCrash> parse(const std::string &Text);
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ENDPOINTCRASH_H
