#include "gateway/daemon_record_json.h"

#include <string>

#include "settings/endpoint.h"

namespace clementinerill::gateway {
namespace {

constexpr const char* kFailureDomain = "failure_domain";
constexpr const char* kRelay = "relay";
constexpr const char* kCapacity = "capacity";

std::string StringField(const nlohmann::json& object, const char* key) {
  const auto found = object.is_object() ? object.find(key) : object.end();
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

nlohmann::json EncodeOwnRecord(const GatewayOptions& options) {
  nlohmann::json record = {{kFailureDomain, options.failure_domain_},
                           {kCapacity, options.capacity_}};
  if (options.relay_listen_) {
    record[kRelay] = ToText(*options.relay_listen_);
  }
  return record;
}

Result<mirror::DaemonRecord> DecodeDaemonRecord(
    const mirror::StoredObject& object) {
  mirror::DaemonRecord record;
  record.name_ = object.name_;
  record.revision_ = object.revision_;
  record.failure_domain_ = StringField(object.content_, kFailureDomain);
  if (record.failure_domain_.empty()) {
    return Fail("failure_domain is missing or empty");
  }
  const auto capacity = object.content_.find(kCapacity);
  if (capacity != object.content_.end() && capacity->is_number_integer()) {
    record.capacity_ = capacity->get<int>();
  }
  const std::string relay = StringField(object.content_, kRelay);
  if (relay.empty()) {
    return record;
  }
  const auto endpoint = ParseEndpoint(relay);
  if (!endpoint) {
    return Fail("relay " + endpoint.error().description_);
  }
  record.address_ = endpoint->address_;
  record.port_ = endpoint->port_;
  return record;
}

}  // namespace clementinerill::gateway
