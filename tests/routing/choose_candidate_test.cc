#include "routing/choose_candidate.h"

#include <catch2/catch.hpp>

#include "routing/upstream_health.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

const Instant kNow = Instant(std::chrono::hours(1));

UpstreamCandidate MakeUpstreamCandidate(int latency_ms) {
  UpstreamCandidate candidate;
  candidate.limit_ = 1;
  candidate.expected_latency_ = milliseconds(latency_ms);
  candidate.offers_ = {{1, 1}};
  return candidate;
}

// Guards against requests to a slow upstream while faster ones have free slots.
TEST_CASE("the fastest upstream with a free slot is chosen", "[choose]") {
  std::vector<UpstreamCandidate> candidates = {MakeUpstreamCandidate(100),
                                               MakeUpstreamCandidate(5),
                                               MakeUpstreamCandidate(6)};
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow) == size_t{1});
  candidates[1].in_use_ = 1;
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow) == size_t{2});
  candidates[2].tried_ = true;
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow) == size_t{0});
}

// Guards against a reason that does not show why no upstream was found.
TEST_CASE("the reason tells whether waiting helps", "[choose]") {
  std::vector<UpstreamCandidate> candidates = {MakeUpstreamCandidate(5)};
  CHECK(ChooseCandidate(candidates, Snapshot{2, 1}, kNow).error() ==
        Reason::kNoSnapshot);
  candidates[0].in_use_ = 1;
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow).error() ==
        Reason::kNoSlot);
  candidates[0].open_ = false;
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow).error() ==
        Reason::kNoUpstream);
}

// Guards against new requests to an upstream that has just failed.
TEST_CASE("the skip period doubles per failure and ends on success",
          "[choose]") {
  UpstreamHealth health;
  RecordFailure(health, kNow);
  const Duration first = health.skip_until_ - kNow;
  RecordFailure(health, kNow);
  CHECK(health.skip_until_ - kNow == 2 * first);
  RecordSuccess(health);
  CHECK(health.skip_until_ <= kNow);
}

// Guards against queries that wait until their deadline when all upstreams of a
// service fail at once and are skipped.
TEST_CASE("skip periods are ignored when every upstream is skipped",
          "[choose]") {
  std::vector<UpstreamCandidate> candidates = {MakeUpstreamCandidate(5),
                                               MakeUpstreamCandidate(6)};
  candidates[0].skip_until_ = kNow + milliseconds(10);
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow) == size_t{1});
  candidates[1].skip_until_ = kNow + milliseconds(10);
  CHECK(ChooseCandidate(candidates, Snapshot{1, 1}, kNow) == size_t{0});
}

// Guards against never retrying an upstream after a single slow period.
TEST_CASE("the expected latency decays towards the typical one", "[choose]") {
  UpstreamHealth health;
  RecordLatency(health, milliseconds(100), kNow);
  const Duration typical = milliseconds(5);
  CHECK(ExpectedLatency(health, typical, kNow) == milliseconds(100));
  const Duration later =
      ExpectedLatency(health, typical, kNow + std::chrono::seconds(20));
  CHECK(later < milliseconds(6));
}

}  // namespace
}  // namespace clementinerill
