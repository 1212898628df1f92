#include "admin/operations.h"

#include <utility>

#include "admin/ensure_valid.h"
#include "admin/failure_domain_operations.h"
#include "admin/route_operations.h"
#include "admin/upstream_operations.h"

namespace clementinerill {
namespace {

std::string ToText(const Labels& labels) {
  std::string text;
  for (const auto& [key, value] : labels) {
    text.append(key).append("=").append(value).append("\n");
  }
  return text;
}

std::string ToText(const Upstream& upstream) {
  return upstream.address_ + ":" + std::to_string(upstream.port_) + "\n" +
         upstream.failure_domain_ + "\n" + upstream.version_ + "\n" +
         ToText(upstream.labels_);
}

std::string CurrentLabelsText(const Configuration& configuration,
                              const std::string& upstream,
                              const Labels& requested) {
  const Upstream* found = FindUpstream(configuration, upstream);
  if (found == nullptr) {
    return "absent";
  }
  Labels values;
  for (const auto& [key, value] : requested) {
    const auto label = found->labels_.find(key);
    if (label != found->labels_.end()) {
      values.insert(*label);
    }
  }
  return ToText(values);
}

std::string GenerationText(const Configuration& configuration,
                           const std::string& failure_domain) {
  const FailureDomain* found = FindFailureDomain(configuration, failure_domain);
  return found == nullptr ? "absent" : std::to_string(found->generation_);
}

}  // namespace

Operation SetLabelsOperation(const std::string& upstream,
                             const Labels& labels) {
  Operation operation;
  operation.commutative_ = true;
  operation.apply_ = [upstream, labels](const Configuration& current) {
    return SetLabels(current, upstream, labels);
  };
  operation.dependency_ = [upstream, labels](const Configuration& current) {
    return CurrentLabelsText(current, upstream, labels);
  };
  return operation;
}

Operation SetSelectorOperation(const std::string& route,
                               const Selector& selector) {
  Operation operation;
  operation.commutative_ = true;
  operation.apply_ = [route, selector](const Configuration& current) {
    return SetSelector(current, route, selector);
  };
  operation.dependency_ = [route](const Configuration& current) -> std::string {
    const Route* found = FindRoute(current, route);
    return found == nullptr ? "absent"
                            : ToText(found->selector_.required_labels_);
  };
  return operation;
}

Operation SetInServiceOperation(const std::string& failure_domain,
                                bool in_service) {
  Operation operation;
  operation.commutative_ = true;
  operation.apply_ = [failure_domain,
                      in_service](const Configuration& current) {
    return SetInService(current, failure_domain, in_service);
  };
  if (in_service) {
    operation.dependency_ = [failure_domain](const Configuration& current) {
      return GenerationText(current, failure_domain);
    };
  }
  return operation;
}

Operation AddUpstreamOperation(std::string service, Upstream upstream) {
  Operation operation;
  operation.commutative_ = true;
  operation.apply_ = [service = std::move(service),
                      upstream =
                          std::move(upstream)](const Configuration& current) {
    return AddUpstream(current, service, upstream);
  };
  return operation;
}

Operation RemoveUpstreamOperation(const std::string& upstream) {
  Operation operation;
  operation.commutative_ = true;
  operation.apply_ = [upstream](const Configuration& current) {
    return RemoveUpstream(current, upstream);
  };
  operation.dependency_ =
      [upstream](const Configuration& current) -> std::string {
    const Upstream* found = FindUpstream(current, upstream);
    return found == nullptr ? "absent" : ToText(*found);
  };
  return operation;
}

Operation ReplaceOperation(Configuration document) {
  Operation operation;
  operation.requires_valid_document_ = false;
  operation.apply_ = [document = std::move(document)](const Configuration&) {
    return EnsureValid(document);
  };
  return operation;
}

}  // namespace clementinerill
