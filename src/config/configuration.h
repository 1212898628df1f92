#ifndef CLEMENTINERILL_CONFIG_CONFIGURATION_H_
#define CLEMENTINERILL_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/failure_domain.h"
#include "config/pool.h"
#include "config/route.h"
#include "config/service.h"

namespace clementinerill {

/// @brief The configuration declared by operators, one document in the store.
///
/// Stored as the object `config/main`. `version_` is assigned by the store and
/// increases with each accepted change; `change_id_` is chosen by the writer.
struct Configuration {
  uint64_t version_ = 0;
  std::string change_id_;
  std::vector<Pool> pools_;
  std::vector<Service> services_;
  std::vector<Route> routes_;
  std::vector<FailureDomain> failure_domains_;
};

/// @brief The route with the given name, or null.
[[nodiscard]] const Route* FindRoute(const Configuration& configuration,
                                     const std::string& name) noexcept;

/// @brief The pool with the given name, or null.
[[nodiscard]] const Pool* FindPool(const Configuration& configuration,
                                   const std::string& name) noexcept;

/// @brief The failure domain with the given name, or null.
[[nodiscard]] const FailureDomain* FindFailureDomain(
    const Configuration& configuration,
    const std::string& name) noexcept;

/// @brief The services of a pool, in document order.
[[nodiscard]] std::vector<const Service*> ServicesOfPool(
    const Configuration& configuration,
    const std::string& pool);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_CONFIGURATION_H_
