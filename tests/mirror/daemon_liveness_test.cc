#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "mirror/mirror.h"

namespace clementinerill::mirror {
namespace {

Instant At(Duration since_start) {
  return Instant(std::chrono::hours(1)) + since_start;
}

// Guards against deleting the record of a daemon that restarts or is
// partitioned off, and against stale records that are never deleted.
TEST_CASE("a record expires after minutes without an answered probe",
          "[liveness]") {
  DaemonLiveness liveness;
  CHECK_FALSE(IsExpired(liveness, "vm-1", At({})));
  RecordProbeResult(liveness, "vm-1", false, At({}));
  RecordProbeResult(liveness, "vm-1", false, At(kDaemonExpiry / 2));
  CHECK_FALSE(IsExpired(liveness, "vm-1", At(kDaemonExpiry / 2)));
  CHECK(IsExpired(liveness, "vm-1", At(kDaemonExpiry)));
  RecordProbeResult(liveness, "vm-1", true, At(kDaemonExpiry));
  CHECK_FALSE(IsExpired(liveness, "vm-1", At(kDaemonExpiry)));
  RecordProbeResult(liveness, "vm-1", false, At(2 * kDaemonExpiry));
  CHECK_FALSE(IsExpired(liveness, "vm-1", At(2 * kDaemonExpiry)));
}

// Guards against memory that grows with every daemon that was ever removed.
TEST_CASE("the state of daemons that are no longer probed is dropped",
          "[liveness]") {
  DaemonLiveness liveness;
  RecordProbeResult(liveness, "vm-1", false, At({}));
  RecordProbeResult(liveness, "vm-2", false, At({}));
  DaemonRecord listed;
  listed.name_ = "vm-2";
  RetainOnly(liveness, {listed});
  CHECK(liveness.silent_since_.size() == 1);
  CHECK(IsExpired(liveness, "vm-2", At(kDaemonExpiry)));
}

// Guards against daemons that are never probed, and against a number of probes
// that grows with the square of the fleet size.
TEST_CASE("each daemon is probed by another one of its failure domain",
          "[liveness]") {
  std::vector<DaemonRecord> daemons;
  for (int i = 0; i < 20; ++i) {
    daemons.push_back({"vm-" + std::to_string(i), i % 2 == 0 ? "a" : "b",
                       "10.0.0.1", 7000, 250});
  }
  std::map<std::string, int> by_relays;
  std::map<std::string, int> by_readers;
  for (const DaemonRecord& daemon : daemons) {
    const ProbePlan plan = PlanProbes(daemons, daemon.name_);
    const bool is_reader =
        PlanRelays(daemons, daemon.name_).role_ == RelayRole::kReader;
    for (const DaemonRecord& probed : plan.daemons_) {
      CHECK(probed.failure_domain_ == daemon.failure_domain_);
      CHECK(probed.name_ != daemon.name_);
      ++(is_reader ? by_readers : by_relays)[probed.name_];
    }
  }
  CHECK(by_relays.size() == daemons.size());
  for (const auto& [name, count] : by_relays) {
    CHECK(count == 1);
  }
  // The eight readers of each failure domain probe its two relays.
  CHECK(by_readers.size() == 4);
  for (const auto& [name, count] : by_readers) {
    CHECK(count == 8);
  }
  CHECK(PlanProbes(daemons, "unknown").daemons_.empty());
}

}  // namespace
}  // namespace clementinerill::mirror
