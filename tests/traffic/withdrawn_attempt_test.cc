#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

/// Sends a request to the replica at `sent` and withdraws it at `withdrawn`.
void SendAndWithdraw(ReplicaState& replica,
                     const ServiceState& service,
                     Instant sent,
                     Instant withdrawn) {
  RecordSend(replica, sent);
  RecordColdSend(service, replica, sent);
  RecordOutcome(replica, AttemptOutcome::kWithdrawn, sent, {}, withdrawn);
}

// Guards against replicas that are avoided, or that look busy, because callers
// leave before their requests are sent.
TEST_CASE("a withdrawn attempt does not count against its replica",
          "[withdrawn]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kNonIdempotent)});
  ServiceState& service = *FindService(fleet.state_, "docket");
  service.rule_.cold_requests_per_s_ = 2;
  ReplicaState& replica = *service.replicas_[0];
  for (int i = 0; i < 5; ++i) {
    SendAndWithdraw(replica, service, At(seconds(i)),
                    At(seconds(i) + milliseconds(250)));
  }
  CHECK(replica.outstanding_.empty());
  CHECK(replica.recent_sends_.empty());
  CHECK(FailureShare(replica, At(seconds(5))) == 0);
  CHECK_FALSE(IsEjected(replica, At(seconds(5))));
}

// Guards against a replica that gets more than it accepts: the permit of a
// request that waited for its connection may have expired when it is withdrawn.
TEST_CASE("a withdrawn attempt adds no permit", "[withdrawn]") {
  const Duration age = GENERATE(milliseconds(250), seconds(3));
  Fleet fleet({MakeSingleRoute(RequestKind::kNonIdempotent)});
  ServiceState& service = *FindService(fleet.state_, "docket");
  ReplicaState& replica = *service.replicas_[0];
  ReplicaReport report;
  report.rate_limit_ = 2.0;
  RecordReport(fleet.state_, replica, report, At({}));
  REQUIRE(HasPermit(replica, At(seconds(2))));
  RecordSend(replica, At(seconds(2)));
  const Instant later = At(seconds(2) + age);
  const int before = AvailablePermits(replica.rate_allowance_, later);
  RecordOutcome(replica, AttemptOutcome::kWithdrawn, At(seconds(2)), {}, later);
  CHECK(AvailablePermits(replica.rate_allowance_, later) == before);
}

// Guards against a query that is answered as if it had run, and against one
// that is not sent elsewhere, after an attempt of which nothing was sent.
TEST_CASE("a withdrawn attempt has not run", "[withdrawn]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kNonIdempotent)});
  const RouteRule& route = fleet.Route("docket.example", "/case/1");
  Query query = StartQuery(fleet.state_, route, "id", seconds(5), At({}), {});
  const auto sends = Advance(fleet.state_, query, At({}));
  REQUIRE(sends.size() == 1);
  RecordAttemptOutcome(fleet.state_, query, sends[0],
                       AttemptOutcome::kWithdrawn, {}, At(milliseconds(250)));
  CHECK_FALSE(MayHaveRun(query));
  fleet.state_.limits_.extra_attempts_ = {0, 0, seconds(10)};
  CHECK(Advance(fleet.state_, query, At(milliseconds(250))).size() == 1);
}

}  // namespace
}  // namespace clementinerill::traffic
