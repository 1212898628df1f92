#ifndef CLEMENTINERILL_CONFIG_SERVICE_H_
#define CLEMENTINERILL_CONFIG_SERVICE_H_

#include <string>
#include <vector>

#include "config/upstream.h"

namespace clementinerill {

/// @brief One shard of a pool, with its replicas.
struct Service {
  std::string name_;                 ///< Unique in the whole configuration.
  std::string pool_;                 ///< Name of the pool it belongs to.
  std::vector<Upstream> upstreams_;  ///< Replicas of this shard.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_SERVICE_H_
