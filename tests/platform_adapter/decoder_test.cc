#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "platform/configuration_decoder.h"
#include "platform/node_settings.h"
#include "platform/replica_decoder.h"
#include "platform/store_codec.h"
#include "property.h"

namespace clementinerill::platform_adapter {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfiguration = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "leno.example", "path_prefix": "/a/b/",
     "kind": "safe", "timeout_ms": 600, "goal_ms": 60, "priority": 2,
     "gather": ["s1", "s2"], "max_attempts": 2, "top_k": 5,
     "min_share": 0.75},
    {"name": "r2", "host": "hufi.example", "path_prefix": "/c/",
     "kind": "unsafe", "timeout_ms": 5000, "goal_ms": 500,
     "split": [{"service": "s3", "weight": 3}, {"service": "s4", "weight": 1}]}
  ],
  "services": [
    {"name": "s1", "health_path": "/health", "max_conns": 31,
     "protocol": "h1", "warmup_s": 3.0, "cold_per_s": 0.0}
  ],
  "limits": {"max_header_bytes": 8192, "max_body_bytes": 262144,
             "header_timeout_ms": 5000, "idle_timeout_ms": 4000}
})";

TEST_CASE("a valid configuration is decoded", "[decoder]") {
  const auto decoded = DecodeConfiguration(json::parse(kConfiguration));
  REQUIRE(decoded);
  CHECK(decoded->version_ == 7);
  const auto& fan_out = decoded->routes_.at("leno.example").front();
  CHECK(fan_out.kind_ == traffic::RequestKind::kIdempotent);
  CHECK(fan_out.shards_ == std::vector<std::string>{"s1", "s2"});
  CHECK(fan_out.objective_ == milliseconds(60));
  CHECK(fan_out.record_limit_ == 5);
  const auto& split = decoded->routes_.at("hufi.example").front();
  CHECK(split.kind_ == traffic::RequestKind::kNonIdempotent);
  CHECK(split.destinations_[0].weight_ == 3);
  CHECK(split.max_attempts_ == 1);
  CHECK(decoded->services_.at("s1").max_connections_ == 31);
  CHECK(decoded->limits_.idle_timeout_ == seconds(4));
}

// Guards against a configuration that is applied in part because one of its
// fields is invalid.
TEST_CASE("an invalid field rejects the whole configuration", "[decoder]") {
  const json valid = json::parse(kConfiguration);
  for (const char* path :
       {"/version", "/routes/0/timeout_ms", "/routes/0/kind",
        "/routes/1/split/0/service", "/services/0/name", "/routes",
        "/limits/idle_timeout_ms", "/routes/0/gather"}) {
    json invalid = valid;
    invalid[json::json_pointer(path)] = json::object();
    const auto decoded = DecodeConfiguration(invalid);
    INFO(path);
    REQUIRE_FALSE(decoded);
    CHECK_FALSE(decoded.error().description_.empty());
  }
  CHECK_FALSE(DecodeConfiguration(json("text")));
}

json ReplicaSpec() {
  return json::parse(R"({"service": "s1", "address": "10.1.2.3:8080",
    "zone": "z1", "version": "v1", "slots": 3, "state": "ready",
    "cold_remaining_ms": 1500, "seq": 4, "born": 1700000000000})");
}

TEST_CASE("a replica's entry is decoded", "[decoder]") {
  const Instant now{seconds(100)};
  const auto entry = DecodeReplica({"i-1", ReplicaSpec()}, now);
  REQUIRE(entry);
  CHECK(entry->port_ == 8080);
  CHECK(entry->failure_domain_ == "z1");
  CHECK(entry->started_unix_ms_ == 1700000000000);
  CHECK(entry->cold_until_ == now + milliseconds(1500));
  CHECK_FALSE(entry->leaving_since_);
}

// Guards against requests that are sent to the address in a forged or malformed
// entry.
TEST_CASE("a malformed replica entry is rejected", "[decoder]") {
  const Instant now{seconds(100)};
  for (const char* field : {"service", "address", "zone", "slots", "state"}) {
    json missing = ReplicaSpec();
    missing.erase(field);
    json wrong = ReplicaSpec();
    wrong[field] = json::array();
    INFO(field);
    CHECK_FALSE(DecodeReplica({"i-1", missing}, now));
    CHECK_FALSE(DecodeReplica({"i-1", wrong}, now));
  }
  json state = ReplicaSpec();
  state["state"] = "resting";
  CHECK_FALSE(DecodeReplica({"i-1", state}, now));
  CHECK_FALSE(DecodeReplica({"i-1", json("\x01\x02")}, now));
  CHECK_FALSE(DecodeReplica({"i-1", json(nullptr)}, now));
}

// Guards against entries of other writers whose numbers overflow when they are
// narrowed or added to a time.
TEST_CASE("a replica entry with a value out of range is rejected",
          "[decoder]") {
  const Instant now{seconds(100)};
  const auto is_valid = [now](const char* field, const json& value) {
    json spec = ReplicaSpec();
    spec[field] = value;
    return DecodeReplica({"i-1", spec}, now).has_value();
  };
  CHECK(is_valid("slots", 1));
  CHECK(is_valid("cold_remaining_ms", 3600000));
  for (const json& slots :
       {json(0), json(-1), json(4294967297), json(18446744073709551615U)}) {
    CHECK_FALSE(is_valid("slots", slots));
  }
  CHECK_FALSE(is_valid("cold_remaining_ms", 1e300));
  CHECK_FALSE(is_valid("cold_remaining_ms", -1));
  CHECK_FALSE(is_valid("born", 18446744073709551615U));
  for (const char* address :
       {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:1e3"}) {
    CHECK_FALSE(is_valid("address", address));
  }
  gateway::StoredObject odd{"i-1", ReplicaSpec()};
  odd.decode_error_ = "spec is nested too deeply";
  CHECK(DecodeReplica(odd, now).error().description_ == odd.decode_error_);
}

// Guards against a list that starts again from its beginning, or a request that
// the store rejects, because of a name of another writer.
TEST_CASE("names are encoded in the targets of requests", "[decoder]") {
  const auto codec = MakeStoreCodec();
  CHECK(codec.list_target_("servers", "a b&watch=1\r\n", false) ==
        "/objects/servers?after=a%20b%26watch%3D1%0D%0A");
  CHECK(codec.object_target_("servers", "i-1_~.x") ==
        "/objects/servers/i-1_~.x");
}

TEST_CASE("objects beyond the bounds are listed with an error", "[decoder]") {
  const auto page = [](const std::string& odd) {
    return R"({"items": [{"meta": {"name": "a"}, "spec": 1}, )" + odd +
           R"(, {"meta": {"name": "c"}, "spec": 5}], "current_rev": 7})";
  };
  const auto error = [&page](const std::string& odd, const JsonBounds& bounds) {
    const auto decoded = DecodePage(page(odd), bounds);
    REQUIRE(decoded);
    REQUIRE(decoded->objects_.size() == 3);
    CHECK(decoded->objects_[0].decode_error_.empty());
    CHECK(decoded->objects_[2].content_ == 5);
    CHECK(decoded->objects_[1].content_.is_null());
    return decoded->objects_[1].decode_error_;
  };
  const std::string deep = std::string(300000, '[') + std::string(300000, ']');
  CHECK(error(R"({"meta": {"name": "b"}, "spec": )" + deep + "}", {}) ==
        "spec is nested more than 32 levels deep");
  CHECK(error(R"({"meta": {"name": "b"}, "spec": "0123456789012345"})",
              {16, 8}) == "spec is larger than 16 bytes");
  CHECK(error(R"({"meta": {"name": "b", "rev": 1e999}, "spec": 1})", {}) ==
        "meta: rev is not valid JSON or has a number out of range");
  CHECK(error(R"({"meta": {"name": 7}, "spec": 1})", {}) ==
        "meta: name must be a string");
  CHECK(error("3", {}) == "object must be a JSON object");
}

// Guards against an entry of another writer that ends the process or hides a
// good one, whatever it contains.
TEST_CASE("good entries survive any mutation of another one", "[decoder]") {
  const std::string good =
      R"({"meta":{"name":"good","rev":7},"spec":)" + ReplicaSpec().dump() + "}";
  CheckProperty(20261208, 1000, [&good] {
    std::string odd = ReplicaSpec().dump();
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, odd.size());
      const std::string replacement =
          *rc::gen::elementOf(std::vector<std::string>{
              "1e999", "-1", "99999999999999999999", "null", "\xff", "[[[]]]",
              "tru", "65536", "e", ""});
      // Quotes, brackets and commas tell entries apart.
      if (std::string("\"[]{},:\\").find(odd[at]) == std::string::npos) {
        odd.replace(at, 1, replacement);
      }
    }
    const std::string page = R"({"items":[)" + good +
                             R"(,{"meta":{"name":"odd"},"spec":)" + odd + "}," +
                             good + R"(],"current_rev":9})";
    const auto decoded = DecodePage(page);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->objects_.size() == 3U);
    const Instant now{seconds(100)};
    RC_ASSERT(DecodeReplica(decoded->objects_.front(), now).has_value());
    RC_ASSERT(DecodeReplica(decoded->objects_.back(), now).has_value());
    const auto entry = DecodeReplica(decoded->objects_[1], now);
    if (entry) {
      RC_ASSERT(entry->slots_ >= 1);
      RC_ASSERT(entry->port_ >= 1);
      RC_ASSERT(!entry->cold_until_ ||
                *entry->cold_until_ <= now + std::chrono::hours(24));
    }
  });
}

TEST_CASE("responses of the store are decoded", "[decoder]") {
  const auto page = DecodePage(
      R"({"items": [{"meta": {"name": "i-1"}, "spec": {"a": 1}}, "broken"],
          "has_more": true, "current_rev": 530})");
  REQUIRE(page);
  CHECK(page->has_more_);
  CHECK(page->revision_ == 530);
  CHECK(page->objects_[0].name_ == "i-1");
  CHECK(page->objects_[1].name_.empty());
  // If an object has two events, the last one counts.
  const auto events = DecodeEvents(
      R"({"events": [
            {"deleted": false, "object": {"meta": {"name": "x"}, "spec": 1}},
            {"deleted": true, "object": {"meta": {"name": "x"}, "spec": 1}},
            {"deleted": false, "object": {"meta": {"name": "y"}, "spec": 2}}],
          "current_rev": 533})");
  REQUIRE(events);
  CHECK(events->removed_ == std::vector<std::string>{"x"});
  REQUIRE(events->upserted_.size() == 1);
  CHECK(events->upserted_[0].content_ == 2);
  CHECK_FALSE(DecodePage("<html>"));
  CHECK_FALSE(DecodeEvents(R"({"events": 3, "current_rev": 1})"));
  CHECK_FALSE(DecodeEvents(R"({"events": []})"));
}

constexpr const char* kSettings = R"(
node: "frontend-z1-1"
ip: "10.1.0.39"
zone: "z1"
listen:
  front: "10.1.0.39:8226"
  ready: "10.1.0.39:8227"
  control: "10.1.0.39:8224"
internal_ports: [7740, 7755]
seeds: ["10.1.0.39:8224", "unreadable"]
limits: {cpu_share: 0.25, cores: 1}
bounds: {drain_ms: 3000, config_ms: 2500, evacuate_ms: 5000, grace_s: 6,
         retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58,
         cold_overage: 1.5, cold_slack: 5}
platform: {address: "10.200.1.7:8229"}
field_of_later: 1
)";

// Guards against a daemon that takes an unreadable era for a later one and
// lists everything again.
TEST_CASE("the era of the store is decoded from the headers", "[decoder]") {
  const auto codec = MakeStoreCodec();
  const auto era_of = [&codec](const std::string& value) {
    return codec.decode_era_({{"store-era", value}});
  };
  CHECK(codec.decode_era_({}) == 0);
  CHECK(era_of("5") == 5);
  for (const char* value : {"", "x", "5x", "-3", "99999999999999999999"}) {
    CHECK(era_of(value) == 0);
  }
}

// Guards against the deletion of a record that was rewritten after it had been
// read: the store rejects a deletion whose revision is out of date.
TEST_CASE("a deletion is conditional on the revision", "[decoder]") {
  const auto codec = MakeStoreCodec();
  CHECK(codec.delete_target_(codec.kinds_.daemons_, "vm-1", 42) ==
        "/objects/clementinerill-daemons/vm-1?rev=42");
}

TEST_CASE("valid settings are parsed", "[settings]") {
  const auto options = ParseNodeSettings(kSettings, "boot.yaml");
  REQUIRE(options);
  CHECK(options->name_ == "frontend-z1-1");
  CHECK(options->caller_listen_.port_ == 8226);
  CHECK(options->relay_listen_->port_ == 8224);
  CHECK(options->metrics_listen_->port_ == 7740);
  CHECK(options->seeds_.size() == 1);
  CHECK(options->capacity_ == 250);
  CHECK(options->limits_.learns_capacity_);
  CHECK(options->max_propagation_delay_ == milliseconds(2500));
  CHECK(options->stop_grace_ == seconds(6));
  CHECK(options->limits_.extra_attempts_.slack_ == 58);
}

// Guards against a copy of the store that is still out of date when the daemon
// counts as reachable again after an outage.
TEST_CASE("the contact bound limits the propagation delay", "[settings]") {
  std::string text = kSettings;
  text.replace(text.find("drain_ms:"), 0, "contact_ms: 2000, ");
  const auto options = ParseNodeSettings(text, "boot.yaml");
  REQUIRE(options);
  CHECK(options->max_propagation_delay_ == milliseconds(2000));
}

// Guards against requests to a leaving replica later than the deployment
// allows.
TEST_CASE("the drain bound limits the grace period of leaving replicas",
          "[settings]") {
  const auto grace = [](const std::string& drain_ms) {
    std::string text = kSettings;
    const std::string known = "drain_ms: 3000";
    text.replace(text.find(known), known.size(), "drain_ms: " + drain_ms);
    const auto options = ParseNodeSettings(text, "boot.yaml");
    REQUIRE(options);
    return options->leaving_grace_;
  };
  CHECK(grace("3000") == milliseconds(2000));
  CHECK(grace("6000") == milliseconds(2000));
  CHECK(grace("900") == milliseconds(600));
  CHECK(grace("0") == milliseconds(0));
}

// Guards against a daemon that starts with a wrong address, or that fails to
// start without saying which setting is invalid.
TEST_CASE("invalid settings are errors that name the field and the line",
          "[settings]") {
  const auto error = [](const std::string& from, const std::string& to) {
    std::string text = kSettings;
    text.replace(text.find(from), from.size(), to);
    const auto options = ParseNodeSettings(text, "boot.yaml");
    return options ? std::string("valid") : Format(options.error());
  };
  CHECK(error("front:", "back:").find("listen.front is missing") !=
        std::string::npos);
  CHECK(error("10.1.0.39:8226", "leno:x").find("listen.front") !=
        std::string::npos);
  CHECK(error("retry_ratio: 0.2", "retry_ratio: much").find("retry_ratio") !=
        std::string::npos);
  CHECK(error("node:", "{node:").find("boot.yaml:") == 0);
  // Numbers that overflow when they are narrowed or added to a time.
  CHECK(error("[7740, 7755]", "[65537, 7755]").find("internal_ports") !=
        std::string::npos);
  CHECK(error("drain_ms: 3000", "drain_ms: 1e300").find("bounds.drain_ms") !=
        std::string::npos);
  CHECK(error("grace_s: 6", "grace_s: .inf").find("bounds.grace_s") !=
        std::string::npos);
  CHECK(error("cold_slack: 5", "cold_slack: -1").find("cold_slack") !=
        std::string::npos);
  CHECK(error("field_of_later: 1", "capacity: {learned: often}")
            .find("capacity.learned") != std::string::npos);
  CHECK(error("cpu_share: 0.25", "cpu_share: .nan").find("cpu_share") !=
        std::string::npos);
}

}  // namespace
}  // namespace clementinerill::platform_adapter
