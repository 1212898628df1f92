#include "admin/ensure_valid.h"

#include <utility>

#include "config/validate_configuration.h"

namespace clementinerill {

Result<Configuration> EnsureValid(Configuration configuration) {
  std::vector<Error> errors = ValidateConfiguration(configuration);
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors.front()));
  }
  return configuration;
}

}  // namespace clementinerill
