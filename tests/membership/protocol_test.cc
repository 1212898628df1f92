#include <catch2/catch.hpp>

#include "membership/cluster.h"

namespace clementinerill {
namespace {

using std::chrono::seconds;

constexpr int kSeeds = 40;

// Time from the end of the faults until all seats are in use again: 2 s until a
// restarted member is a witness, 2.5 s until heartbeats have spread liveness,
// readiness and echoes, the handover delay of 3 s and the deadline of 0.4 s.
constexpr Duration kRecoveryBound = seconds(8);

// Guards against two daemons that use the same seat, also while the last
// requests of the previous holder still run; against daemons that use a seat
// without a majority; and against seats that stay unused after the faults end.
TEST_CASE("a seat has one user during faults", "[protocol]") {
  const int size = GENERATE(3, 5, 9);
  int handovers = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("size " << size << " seed " << seed);
    Cluster cluster(size, seed);
    cluster.RunUntil(seconds(20), false);
    cluster.RunUntil(seconds(100), true);
    cluster.Heal();
    cluster.RunUntil(cluster.now_ + kRecoveryBound, false);
    for (int step = 0; step < 250; ++step) {
      cluster.Step(false);
      REQUIRE(cluster.violation_ == "");
      REQUIRE(cluster.EverySeatInUse());
    }
    handovers += cluster.handovers_;
  }
  // The checks above are meaningful only if seats changed holders often.
  CHECK(handovers > 10 * kSeeds);
}

}  // namespace
}  // namespace clementinerill
