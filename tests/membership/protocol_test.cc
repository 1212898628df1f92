#include <catch2/catch.hpp>

#include "membership/cluster.h"

namespace clementinerill {
namespace {

using std::chrono::seconds;

constexpr int kSeeds = 40;

// After the faults end: two seconds until a restarted member is a witness,
// two and a half until heartbeats have carried liveness, readiness and echoes,
// the handover wait of 3 s and the deadline of 0.4 s.
constexpr Duration kRecoveryBound = seconds(8);

// Guards against two daemons that send on the same seat, or while the last
// requests of the previous holder still run; against daemons without a
// majority that send; and against seats that stay idle after the faults end.
TEST_CASE("a seat has one user through faults", "[protocol]") {
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
  // A run in which seats hardly move would prove nothing.
  CHECK(handovers > 10 * kSeeds);
}

}  // namespace
}  // namespace clementinerill
