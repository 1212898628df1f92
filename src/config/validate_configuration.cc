#include "config/validate_configuration.h"

#include <set>
#include <string>
#include <utility>

namespace clementinerill {
namespace {

std::string Pointer(const std::string& list, size_t index) {
  return "/" + list + "/" + std::to_string(index);
}

void Report(std::vector<Error>& errors,
            std::string pointer,
            std::string description) {
  errors.push_back(Error{std::move(description), {std::move(pointer), 0, 0}});
}

template <typename T>
void CheckUniqueNames(const std::vector<T>& items,
                      const std::string& list,
                      std::set<std::string>& seen,
                      std::vector<Error>& errors) {
  for (size_t i = 0; i < items.size(); ++i) {
    if (!seen.insert(items[i].name_).second) {
      Report(errors, Pointer(list, i) + "/name",
             "'" + items[i].name_ + "' is declared twice");
    }
  }
}

void CheckService(const Configuration& configuration,
                  size_t index,
                  std::vector<Error>& errors) {
  const Service& service = configuration.services_[index];
  const std::string pointer = Pointer("services", index);
  if (FindPool(configuration, service.pool_) == nullptr) {
    Report(errors, pointer + "/pool",
           "pool '" + service.pool_ + "' is not declared");
  }
  for (size_t i = 0; i < service.upstreams_.size(); ++i) {
    const std::string& domain = service.upstreams_[i].failure_domain_;
    if (FindFailureDomain(configuration, domain) == nullptr) {
      Report(errors, pointer + Pointer("upstreams", i) + "/failure_domain",
             "failure domain '" + domain + "' is not declared");
    }
  }
}

void CheckRoute(const Configuration& configuration,
                size_t index,
                std::vector<Error>& errors) {
  const Route& route = configuration.routes_[index];
  if (FindPool(configuration, route.pool_) == nullptr) {
    Report(errors, Pointer("routes", index) + "/pool",
           "pool '" + route.pool_ + "' is not declared");
  }
  if (route.default_deadline_ > route.longest_deadline_) {
    Report(errors, Pointer("routes", index) + "/default_deadline_ms",
           "must not exceed longest_deadline_ms");
  }
}

}  // namespace

std::vector<Error> ValidateConfiguration(const Configuration& configuration) {
  std::vector<Error> errors;
  std::set<std::string> pools;
  std::set<std::string> services;
  std::set<std::string> routes;
  std::set<std::string> domains;
  std::set<std::string> upstreams;
  CheckUniqueNames(configuration.pools_, "pools", pools, errors);
  CheckUniqueNames(configuration.services_, "services", services, errors);
  CheckUniqueNames(configuration.routes_, "routes", routes, errors);
  CheckUniqueNames(configuration.failure_domains_, "failure_domains", domains,
                   errors);
  for (size_t i = 0; i < configuration.services_.size(); ++i) {
    CheckUniqueNames(configuration.services_[i].upstreams_,
                     "services/" + std::to_string(i) + "/upstreams", upstreams,
                     errors);
    CheckService(configuration, i, errors);
  }
  for (size_t i = 0; i < configuration.routes_.size(); ++i) {
    CheckRoute(configuration, i, errors);
  }
  return errors;
}

}  // namespace clementinerill
