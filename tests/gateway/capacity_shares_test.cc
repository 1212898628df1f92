#include "gateway/capacity_shares.h"

#include <cmath>

#include <catch2/catch.hpp>

#include "mirror/relay_message.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Estimates = CapacityShares::Estimates;

constexpr Instant kNow{seconds(1000)};

/// A daemon that keeps what is published to its traffic thread.
struct Daemon {
  explicit Daemon(const std::string& name) : name_(name), shares_(name) {
    shares_.SetPublish([this](const Estimates& all) { published_ = all; });
  }

  /// Polls the relay and exchanges messages with it.
  void Poll(Daemon& relay, Instant now) {
    relay.shares_.RecordReport(name_, shares_.Own(now), true, now);
    shares_.RecordSums(relay.shares_.Sums(now), now);
    shares_.RecordOwn({}, now);
  }

  void Report(Daemon& other, Instant now) {
    other.shares_.RecordReport(name_, shares_.Direct(now), false, now);
  }

  const std::string name_;
  CapacityShares shares_;
  Estimates published_;
};

// A daemon in one failure domain learns that a replica is slow. Guards against
// a new daemon in another one that does not know it within a second.
TEST_CASE("a new daemon learns what another one knows", "[capacity_shares]") {
  Daemon busy("vm-1");
  Daemon relay_a("vm-2");
  Daemon relay_b("vm-3");
  Daemon fresh("vm-4");
  busy.shares_.RecordOwn({{7, std::log(1.3), 0.5, 40, milliseconds(200)}},
                         kNow);
  relay_a.shares_.RecordReport("vm-1", busy.shares_.Own(kNow), true, kNow);
  relay_a.Report(relay_b, kNow + milliseconds(400));
  fresh.Poll(relay_b, kNow + milliseconds(700));
  REQUIRE(fresh.published_.size() == 1);
  const auto& known = fresh.published_[0];
  CHECK(known.replica_ == 7);
  CHECK(std::exp(known.log_slowness_) == Approx(1.3).epsilon(0.01));
  CHECK(known.accepted_share_ == Approx(0.5));
  CHECK(known.weight_ == 40);
  CHECK(known.age_ == milliseconds(900));
}

// Guards against reports of relays that come back to their origin as new ones.
TEST_CASE("a relay does not pass on the reports of other relays to relays",
          "[capacity_shares]") {
  Daemon relay_a("vm-1");
  Daemon relay_b("vm-2");
  relay_a.shares_.RecordOwn({{7, 0.3, 1, 40, {}}}, kNow);
  relay_a.Report(relay_b, kNow);
  CHECK(relay_b.shares_.Direct(kNow).empty());
  relay_b.Report(relay_a, kNow);
  const auto sums = relay_a.shares_.Sums(kNow);
  REQUIRE(sums.size() == 1);
  CHECK(sums[0].observations_ == 40);
}

// A daemon that is killed or cut off. Guards against its reports staying.
TEST_CASE("reports of a lost daemon expire", "[capacity_shares]") {
  Daemon relay("vm-1");
  relay.shares_.RecordReport("vm-2", {{7, 300, 1000, 40, milliseconds(0)}},
                             true, kNow);
  CHECK(relay.shares_.Sums(kNow).size() == 1);
  CHECK(relay.shares_.Sums(kNow + seconds(5)).empty());
}

// The example deployment: 36 shards of three replicas, all unlike the others.
// Guards against messages between failure domains that grow unnoticed.
TEST_CASE("a report of all replicas of 36 shards is small",
          "[capacity_shares]") {
  Estimates estimates;
  for (uint32_t i = 0; i < 36 * 3; ++i) {
    estimates.push_back({i * 39916801U, 0.25, 0.75, 60, seconds(3)});
  }
  CapacityShares shares("vm-1");
  shares.RecordOwn(estimates, kNow);
  mirror::RelayRequest request;
  const size_t without = mirror::Encode(request).size();
  request.capacities_ = shares.Own(kNow);
  REQUIRE(request.capacities_.size() == 108);
  const size_t with = mirror::Encode(request).size();
  INFO("bytes of 108 estimates " << with - without);
  CHECK(with - without <= 108 * 18);
}

}  // namespace
}  // namespace clementinerill::gateway
