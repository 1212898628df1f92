#include <memory>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

using organisations::AccessRefusal;

std::shared_ptr<organisations::Directory> MakeDirectory() {
  auto directory = std::make_shared<organisations::Directory>();
  REQUIRE(organisations::AddOrganisation(*directory, "kami770", 2, {"key"}));
  return directory;
}

/// A fleet with one route of `shards` shards, and one of its queries.
struct AccessDriver {
  explicit AccessDriver(int shards) : fleet_({MakeFanOutRoute(shards)}) {
    query_ =
        StartQuery(fleet_.state_, fleet_.Route("search.example", "/sweep/"),
                   "id", seconds(5), At({}));
  }

  void Finish(SendAction action, AttemptOutcome outcome) {
    RecordAttemptOutcome(fleet_.state_, query_, action, outcome, {},
                         At(milliseconds(2)));
  }

  Fleet fleet_;
  Query query_;
};

// Guards against the route's priority for organisations that have their own.
TEST_CASE("the priority of the organisation replaces that of the route",
          "[access]") {
  TrafficConfiguration configuration;
  RouteRule route = MakeSingleRoute(RequestKind::kIdempotent);
  route.priority_ = 1;
  CHECK(PriorityOf(configuration, route, "") == 1);
  configuration.organisations_ = MakeDirectory();
  CHECK(PriorityOf(configuration, route, "") == 1);
  CHECK(PriorityOf(configuration, route, "kami770") == 2);
  CHECK(PriorityOf(configuration, route, "removed") == 1);
}

// Guards against first attempts of a query whose access was lost before it
// started.
TEST_CASE("a query without access sends nothing and is refused", "[access]") {
  AccessDriver driver(3);
  driver.query_.access_refusal_ = AccessRefusal::kUnknownKey;
  CHECK(Advance(driver.fleet_.state_, driver.query_, At({})).empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kRefused);
  for (const QueryPart& part : driver.query_.parts_) {
    CHECK(part.failure_reason_ == PartFailureReason::kAccessLost);
  }
}

// Guards against retries and hedges after access was lost, and against a
// refusal of a request that may have run.
TEST_CASE("attempts in flight are used after access was lost", "[access]") {
  AccessDriver driver(4);
  const auto sends = Advance(driver.fleet_.state_, driver.query_, At({}));
  REQUIRE(sends.size() == 4);
  driver.query_.access_refusal_ = AccessRefusal::kUnknownKey;
  driver.Finish(sends[0], AttemptOutcome::kShed);
  // Late enough for hedges of the others.
  CHECK(Advance(driver.fleet_.state_, driver.query_, At(milliseconds(60)))
            .empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kOpen);
  for (size_t i = 1; i < sends.size(); ++i) {
    driver.Finish(sends[i], AttemptOutcome::kAnswered);
  }
  CHECK(Advance(driver.fleet_.state_, driver.query_, At(milliseconds(61)))
            .empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kPartial);
}

TEST_CASE("a query that may have run is not refused for lost access",
          "[access]") {
  AccessDriver driver(1);
  const auto sends = Advance(driver.fleet_.state_, driver.query_, At({}));
  driver.query_.access_refusal_ = AccessRefusal::kViewTooOld;
  driver.Finish(sends[0], AttemptOutcome::kBroken);
  CHECK(Advance(driver.fleet_.state_, driver.query_, At(milliseconds(3)))
            .empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kFailed);
}

}  // namespace
}  // namespace clementinerill::traffic
