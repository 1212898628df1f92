#include "routing/build_routing_table.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.version_ = 4;
  Pool pool;
  pool.name_ = "claims";
  pool.slots_ = 3;
  pool.seats_ = 3;
  configuration.pools_ = {pool};
  Upstream first;
  first.name_ = "a";
  first.failure_domain_ = "fd-0";
  Upstream second;
  second.name_ = "b";
  second.failure_domain_ = "fd-1";
  configuration.services_ = {Service{"s", "claims", {first, second}}};
  configuration.failure_domains_ = {{"fd-0", true, 0}, {"fd-1", true, 0}};
  return configuration;
}

const RoutingTarget& TargetOf(const RoutingTable& table, size_t index) {
  return table.pools_.at("claims").services_.at(0).targets_.at(index);
}

// Guards against new requests to a failure domain that is out of service,
// whether by configuration or only by an advisory.
TEST_CASE("upstreams of a failure domain out of service are closed",
          "[routing]") {
  Configuration configuration = MakeConfiguration();
  configuration.failure_domains_[0].in_service_ = false;
  RoutingRestrictions restrictions;
  CHECK_FALSE(
      TargetOf(BuildRoutingTable(configuration, restrictions), 0).open_);
  CHECK(TargetOf(BuildRoutingTable(configuration, restrictions), 1).open_);
  restrictions.failure_domains_out_ = {"fd-1"};
  CHECK_FALSE(
      TargetOf(BuildRoutingTable(configuration, restrictions), 1).open_);
}

// Guards against new requests to an upstream that is leaving.
TEST_CASE("a leaving upstream is closed", "[routing]") {
  RoutingRestrictions restrictions;
  restrictions.upstreams_leaving_ = {"b"};
  const RoutingTable table =
      BuildRoutingTable(MakeConfiguration(), restrictions);
  CHECK(TargetOf(table, 0).open_);
  CHECK_FALSE(TargetOf(table, 1).open_);
}

}  // namespace
}  // namespace clementinerill
