#include "admin/route_operations.h"

#include <algorithm>
#include <utility>

namespace clementinerill {

Result<Configuration> SetSelector(Configuration configuration,
                                  const std::string& route,
                                  Selector selector) {
  const auto found =
      std::find_if(configuration.routes_.begin(), configuration.routes_.end(),
                   [&route](const Route& item) { return item.name_ == route; });
  if (found == configuration.routes_.end()) {
    return Fail("route '" + route + "' is not declared");
  }
  found->selector_ = std::move(selector);
  return configuration;
}

}  // namespace clementinerill
