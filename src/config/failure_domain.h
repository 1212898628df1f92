#ifndef CLEMENTINERILL_CONFIG_FAILURE_DOMAIN_H_
#define CLEMENTINERILL_CONFIG_FAILURE_DOMAIN_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief Upstreams that operators take out of service and restore as a unit.
struct FailureDomain {
  std::string name_;
  bool in_service_ = true;
  uint64_t generation_ = 0;  ///< Increases with each change of `in_service_`.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_FAILURE_DOMAIN_H_
