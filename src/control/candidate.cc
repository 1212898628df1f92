#include "control/candidate.h"

#include <utility>

namespace clementinerill {

Candidate MakeCandidate(ConfigurationSource source,
                        std::string origin,
                        uint64_t version,
                        Configuration configuration) {
  configuration.version_ = version;
  return {source, std::move(origin),
          std::make_shared<const Configuration>(std::move(configuration))};
}

}  // namespace clementinerill
