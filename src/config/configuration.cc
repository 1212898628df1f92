#include "config/configuration.h"

#include <algorithm>

namespace clementinerill {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& items,
                    const std::string& name) noexcept {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&name](const T& item) { return item.name_ == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const Route* FindRoute(const Configuration& configuration,
                       const std::string& name) noexcept {
  return FindByName(configuration.routes_, name);
}

const Pool* FindPool(const Configuration& configuration,
                     const std::string& name) noexcept {
  return FindByName(configuration.pools_, name);
}

const FailureDomain* FindFailureDomain(const Configuration& configuration,
                                       const std::string& name) noexcept {
  return FindByName(configuration.failure_domains_, name);
}

std::vector<const Service*> ServicesOfPool(const Configuration& configuration,
                                           const std::string& pool) {
  std::vector<const Service*> services;
  for (const Service& service : configuration.services_) {
    if (service.pool_ == pool) {
      services.push_back(&service);
    }
  }
  return services;
}

}  // namespace clementinerill
