#ifndef CLEMENTINERILL_CONFIG_UPSTREAM_H_
#define CLEMENTINERILL_CONFIG_UPSTREAM_H_

#include <cstdint>
#include <string>

#include "config/labels.h"

namespace clementinerill {

/// @brief One replica of a service: an upstream process with its address.
struct Upstream {
  std::string name_;            ///< Unique in the whole configuration.
  std::string address_;         ///< IP address.
  uint16_t port_ = 0;           ///< TCP port, at least 1.
  std::string failure_domain_;  ///< Name of a declared failure domain.
  std::string version_;         ///< Software version, compared by rollouts.
  Labels labels_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_UPSTREAM_H_
