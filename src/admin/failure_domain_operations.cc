#include "admin/failure_domain_operations.h"

#include <algorithm>

namespace clementinerill {

Result<Configuration> SetInService(Configuration configuration,
                                   const std::string& failure_domain,
                                   bool in_service) {
  auto& domains = configuration.failure_domains_;
  const auto found = std::find_if(domains.begin(), domains.end(),
                                  [&failure_domain](const FailureDomain& item) {
                                    return item.name_ == failure_domain;
                                  });
  if (found == domains.end()) {
    return Fail("failure domain '" + failure_domain + "' is not declared");
  }
  if (found->in_service_ != in_service) {
    found->in_service_ = in_service;
    ++found->generation_;
  }
  return configuration;
}

}  // namespace clementinerill
