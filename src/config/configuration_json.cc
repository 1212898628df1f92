#include "config/configuration_json.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "config/json_reader.h"
#include "config/validate_configuration.h"

namespace clementinerill {
namespace {

using nlohmann::json;

Pool ReadPool(JsonReader& reader) {
  Pool pool;
  pool.name_ = reader.String("name");
  pool.slots_ = reader.Integer("slots", pool.slots_, 1, 10'000);
  pool.connections_ =
      reader.Integer("connections", pool.connections_, 1, 100'000);
  pool.seats_ = reader.Integer("seats", pool.seats_, 1, 100);
  return pool;
}

Upstream ReadUpstream(JsonReader& reader) {
  Upstream upstream;
  upstream.name_ = reader.String("name");
  upstream.address_ = reader.String("address");
  upstream.port_ = static_cast<uint16_t>(reader.Integer("port", 0, 1, 65'535));
  upstream.failure_domain_ = reader.String("failure_domain");
  upstream.version_ = reader.OptionalString("version");
  upstream.labels_ = reader.StringMap("labels");
  return upstream;
}

Service ReadService(JsonReader& reader) {
  Service service;
  service.name_ = reader.String("name");
  service.pool_ = reader.String("pool");
  service.upstreams_ = reader.List<Upstream>("upstreams", ReadUpstream);
  return service;
}

Route ReadRoute(JsonReader& reader) {
  constexpr int kMaxDeadlineMs = 600'000;
  Route route;
  route.name_ = reader.String("name");
  route.kind_ = reader.EnumValue("kind", kRouteKindNames, route.kind_);
  route.pool_ = reader.String("pool");
  route.selector_.required_labels_ = reader.StringMap("selector");
  route.default_deadline_ = std::chrono::milliseconds(
      reader.Integer("default_deadline_ms", 1'000, 1, kMaxDeadlineMs));
  route.longest_deadline_ = std::chrono::milliseconds(
      reader.Integer("longest_deadline_ms", 10'000, 1, kMaxDeadlineMs));
  route.top_ = reader.Integer("top", route.top_, 1, 10'000);
  return route;
}

FailureDomain ReadFailureDomain(JsonReader& reader) {
  FailureDomain domain;
  domain.name_ = reader.String("name");
  domain.in_service_ = reader.Boolean("in_service", true);
  domain.generation_ = reader.Unsigned("generation", 0);
  return domain;
}

json ToJson(const Upstream& upstream) {
  return {{"name", upstream.name_},
          {"address", upstream.address_},
          {"port", upstream.port_},
          {"failure_domain", upstream.failure_domain_},
          {"version", upstream.version_},
          {"labels", upstream.labels_}};
}

json ToJson(const Service& service) {
  json upstreams = json::array();
  for (const Upstream& upstream : service.upstreams_) {
    upstreams.push_back(ToJson(upstream));
  }
  return {{"name", service.name_},
          {"pool", service.pool_},
          {"upstreams", std::move(upstreams)}};
}

json ToJson(const Pool& pool) {
  return {{"name", pool.name_},
          {"slots", pool.slots_},
          {"connections", pool.connections_},
          {"seats", pool.seats_}};
}

json ToJson(const Route& route) {
  return {{"name", route.name_},
          {"kind", NameOf(kRouteKindNames, route.kind_)},
          {"pool", route.pool_},
          {"selector", route.selector_.required_labels_},
          {"default_deadline_ms", route.default_deadline_.count()},
          {"longest_deadline_ms", route.longest_deadline_.count()},
          {"top", route.top_}};
}

json ToJson(const FailureDomain& domain) {
  return {{"name", domain.name_},
          {"in_service", domain.in_service_},
          {"generation", domain.generation_}};
}

template <typename T>
json ToJsonArray(const std::vector<T>& items) {
  json array = json::array();
  for (const T& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

}  // namespace

tl::expected<Configuration, Errors> ParseConfiguration(
    const std::string& text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return tl::make_unexpected(
        Errors{MakeError("the configuration must be a JSON object")});
  }
  Errors errors;
  Configuration configuration;
  JsonReader reader(document, "", errors);
  configuration.version_ = reader.Unsigned("version", 0);
  configuration.change_id_ = reader.OptionalString("change_id");
  configuration.pools_ = reader.List<Pool>("pools", ReadPool);
  configuration.services_ = reader.List<Service>("services", ReadService);
  configuration.routes_ = reader.List<Route>("routes", ReadRoute);
  configuration.failure_domains_ =
      reader.List<FailureDomain>("failure_domains", ReadFailureDomain);
  reader.RejectUnknownKeys();
  if (errors.empty()) {
    errors = ValidateConfiguration(configuration);
  }
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return configuration;
}

std::string ToJsonText(const Configuration& configuration) {
  const json document = {
      {"version", configuration.version_},
      {"change_id", configuration.change_id_},
      {"pools", ToJsonArray(configuration.pools_)},
      {"services", ToJsonArray(configuration.services_)},
      {"routes", ToJsonArray(configuration.routes_)},
      {"failure_domains", ToJsonArray(configuration.failure_domains_)}};
  return document.dump(2);
}

}  // namespace clementinerill
