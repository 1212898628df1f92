#include "gateway/daemon_record_json.h"

#include <string>

#include "settings/endpoint.h"

namespace clementinerill::gateway {
namespace {

constexpr const char* kFailureDomain = "failure_domain";
constexpr const char* kRelay = "relay";
constexpr const char* kForward = "forward";
constexpr const char* kRegion = "region";
constexpr const char* kCapacity = "capacity";
// Thousandths of a core: a thousand cores.
constexpr int kMaxCapacity = 1000000;

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
  if (options.forward_listen_) {
    record[kForward] = ToText(*options.forward_listen_);
  }
  if (!options.region_.empty()) {
    record[kRegion] = options.region_;
  }
  return record;
}

Result<mirror::DaemonRecord> DecodeDaemonRecord(
    const mirror::StoredObject& object) {
  if (!object.decode_error_.empty()) {
    return Fail(object.decode_error_);
  }
  mirror::DaemonRecord record;
  record.name_ = object.name_;
  record.revision_ = object.revision_;
  record.failure_domain_ = StringField(object.content_, kFailureDomain);
  if (record.failure_domain_.empty()) {
    return Fail("failure_domain is missing or empty");
  }
  const auto capacity = object.content_.find(kCapacity);
  if (capacity != object.content_.end()) {
    const double value = capacity->is_number() ? capacity->get<double>() : -1;
    if (!(value >= 0 && value <= kMaxCapacity)) {
      return Fail("capacity must be from 0 to " + std::to_string(kMaxCapacity));
    }
    record.capacity_ = static_cast<int>(value);
  }
  record.region_ = StringField(object.content_, kRegion);
  const std::string forward = StringField(object.content_, kForward);
  if (!forward.empty()) {
    const auto endpoint = ParseEndpoint(forward);
    if (!endpoint) {
      return Fail("forward " + endpoint.error().description_);
    }
    record.forward_address_ = endpoint->address_;
    record.forward_port_ = endpoint->port_;
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
