#ifndef CLEMENTINERILL_CONTROL_CANDIDATE_H_
#define CLEMENTINERILL_CONTROL_CANDIDATE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "config/configuration.h"
#include "control/configuration_source.h"

namespace clementinerill {

/// @brief A valid configuration document that a daemon may apply.
///
/// `configuration_` holds the version that the store assigned, not the one in
/// the document text: the writer can't know the assigned version in advance.
struct Candidate {
  ConfigurationSource source_ = ConfigurationSource::kStore;
  std::string origin_;  ///< Name of the peer; empty for other sources.
  std::shared_ptr<const Configuration> configuration_;
};

/// @brief Creates a candidate; `version` replaces the one in the document.
[[nodiscard]] Candidate MakeCandidate(ConfigurationSource source,
                                      std::string origin,
                                      uint64_t version,
                                      Configuration configuration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CANDIDATE_H_
