#include "admin/upstream_operations.h"

#include <algorithm>
#include <utility>

#include "admin/ensure_valid.h"

namespace clementinerill {
namespace {

std::string NotDeclaredMessage(const std::string& upstream) {
  return "upstream '" + upstream + "' is not declared";
}

Upstream* FindMutableUpstream(Configuration& configuration,
                              const std::string& name) noexcept {
  return const_cast<Upstream*>(FindUpstream(configuration, name));
}

}  // namespace

const Upstream* FindUpstream(const Configuration& configuration,
                             const std::string& name) noexcept {
  for (const Service& service : configuration.services_) {
    for (const Upstream& upstream : service.upstreams_) {
      if (upstream.name_ == name) {
        return &upstream;
      }
    }
  }
  return nullptr;
}

Result<Configuration> SetLabels(Configuration configuration,
                                const std::string& upstream,
                                const Labels& labels) {
  Upstream* found = FindMutableUpstream(configuration, upstream);
  if (found == nullptr) {
    return Fail(NotDeclaredMessage(upstream));
  }
  for (const auto& [key, value] : labels) {
    if (key.empty()) {
      return Fail("a label key must not be empty");
    }
    if (value.empty()) {
      found->labels_.erase(key);
    } else {
      found->labels_[key] = value;
    }
  }
  return configuration;
}

Result<Configuration> AddUpstream(Configuration configuration,
                                  const std::string& service,
                                  Upstream upstream) {
  const auto found = std::find_if(
      configuration.services_.begin(), configuration.services_.end(),
      [&service](const Service& item) { return item.name_ == service; });
  if (found == configuration.services_.end()) {
    return Fail("service '" + service + "' is not declared");
  }
  found->upstreams_.push_back(std::move(upstream));
  return EnsureValid(std::move(configuration));
}

Result<Configuration> RemoveUpstream(Configuration configuration,
                                     const std::string& upstream) {
  for (Service& service : configuration.services_) {
    auto& upstreams = service.upstreams_;
    const auto removed = std::remove_if(
        upstreams.begin(), upstreams.end(),
        [&upstream](const Upstream& item) { return item.name_ == upstream; });
    if (removed != upstreams.end()) {
      upstreams.erase(removed, upstreams.end());
      return configuration;
    }
  }
  return Fail(NotDeclaredMessage(upstream));
}

}  // namespace clementinerill
