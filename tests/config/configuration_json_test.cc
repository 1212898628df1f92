#include "config/configuration_json.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

constexpr const char* kDocument = R"({
  "pools": [{"name": "claims", "slots": 3, "connections": 30, "seats": 3}],
  "services": [{"name": "claims-0", "pool": "claims", "upstreams": [
    {"name": "claims-0-a", "address": "127.0.0.1", "port": 9000,
     "failure_domain": "fd-1", "labels": {"app": "claims"}}]}],
  "routes": [{"name": "search", "kind": "sweep", "pool": "claims",
              "selector": {"app": "claims"}}],
  "failure_domains": [{"name": "fd-1"}]
})";

// Guards against members that serialization drops or alters.
TEST_CASE("a configuration round-trips through JSON", "[config]") {
  const auto first = ParseConfiguration(kDocument);
  REQUIRE(first);
  const auto second = ParseConfiguration(ToJsonText(*first));
  REQUIRE(second);
  CHECK(ToJsonText(*first) == ToJsonText(*second));
  CHECK(second->routes_[0].kind_ == RouteKind::kSweep);
}

// Guards against a parser that stops at the first error.
TEST_CASE("all errors are reported in one pass", "[config]") {
  const auto result = ParseConfiguration(R"({
    "pools": [{"name": "p", "slots": 0, "sloots": 1}],
    "routes": [{"name": "r", "kind": "swep", "pool": "p"}]})");
  REQUIRE_FALSE(result);
  REQUIRE(result.error().size() == 3);
  CHECK(Format(result.error()[0]) ==
        "/pools/0/slots: must be a whole number from 1 to 10000");
  CHECK(Format(result.error()[1]) == "/pools/0/sloots: is not a known key");
  CHECK(result.error()[2].position_.path_ == "/routes/0/kind");
}

// Guards against a route that refers to an undeclared pool being accepted.
// Guards against a document that ends the process by its nesting.
TEST_CASE("a deeply nested document is an error", "[config]") {
  const std::string deep = std::string(300000, '[') + std::string(300000, ']');
  CHECK_FALSE(ParseConfiguration(deep));
  CHECK_FALSE(ParseConfiguration(R"({"version": 1, "pools": )" + deep + "}"));
  CHECK_FALSE(ParseConfiguration(R"({"version": 1, "pools": [)" + deep + "]}"));
  CHECK_FALSE(ParseConfiguration(R"({"version": 1e999})"));
  CHECK_FALSE(ParseConfiguration(R"({"version": 18446744073709551616})"));
}

TEST_CASE("unresolved references are errors", "[config]") {
  const auto result = ParseConfiguration(
      R"({"routes": [{"name": "r", "kind": "fetch", "pool": "none"}]})");
  REQUIRE_FALSE(result);
  CHECK(Format(result.error()[0]) ==
        "/routes/0/pool: pool 'none' is not declared");
}

}  // namespace
}  // namespace clementinerill
