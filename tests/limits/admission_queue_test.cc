#include "limits/admission_queue.h"

#include <map>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "limits/steps.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

const Instant kStart{};

QueueEntry Entry(uint64_t id, RouteKind kind, int deadline_ms = 100000) {
  return {id, kind, kStart + milliseconds(deadline_ms), milliseconds(20)};
}

void Add(AdmissionQueue& queue, uint64_t id, RouteKind kind) {
  REQUIRE(EnqueueEntry(queue, Entry(id, kind), kStart).empty());
}

// Dequeues from a backlog of fetches every 10 ms until the service rate is
// known.
Instant MeasureServiceRate(AdmissionQueue& queue) {
  Instant now = kStart;
  for (int i = 0; i < 40; ++i) {
    Add(queue, 1000 + i, RouteKind::kFetch);
  }
  for (int i = 0; i < 40; ++i) {
    REQUIRE(DequeueEntry(queue, now).entry_);
    now += milliseconds(10);
  }
  return now;
}

// Guards against requests that are lost, removed twice, dequeued too late to
// meet their deadline or displaced by an equal or lower priority, and against
// growth beyond the capacity.
TEST_CASE("each request leaves the bounded queue exactly once", "[queue]") {
  CHECK(rc::check([] {
    AdmissionQueue queue = MakeAdmissionQueue(*rc::gen::inRange(4, 12));
    std::set<uint64_t> queued;
    Instant now = kStart;
    uint64_t next_id = 0;
    for (const int step : *Steps()) {
      now += milliseconds(step % 5);
      const auto kind = static_cast<RouteKind>(step % 4);
      std::vector<RefusedEntry> refused;
      if (step < 700) {
        const QueueEntry entry{++next_id, kind, now + milliseconds(step % 150),
                               milliseconds(20)};
        refused = EnqueueEntry(queue, entry, now);
        queued.insert(entry.id_);
      } else if (step < 950) {
        const DequeueResult result = DequeueEntry(queue, now);
        refused = result.refused_;
        if (result.entry_) {
          RC_ASSERT(now + milliseconds(20) <= result.entry_->deadline_);
          RC_ASSERT(queued.erase(result.entry_->id_) == 1U);
        }
      } else if (!queued.empty()) {
        RC_ASSERT(CancelEntry(queue, *queued.begin()));
        queued.erase(queued.begin());
      }
      for (const RefusedEntry& refusal : refused) {
        RC_ASSERT(queued.erase(refusal.entry_.id_) == 1U);
        RC_ASSERT(refusal.reason_ != RefusalReason::kDisplaced ||
                  refusal.entry_.kind_ < kind);
      }
      RC_ASSERT(QueueLength(queue) == queued.size());
      RC_ASSERT(QueueLength(queue) <= queue.capacity_);
    }
  }));
}

// Guards against starvation of any priority under any mix of arrivals.
TEST_CASE("a backlog is served within the starvation bound", "[queue]") {
  CHECK(rc::check([] {
    AdmissionQueue queue = MakeAdmissionQueue(24);
    std::map<RouteKind, int> skip_counts;
    uint64_t next_id = 0;
    for (const int step : *Steps()) {
      for (int i = 0; i < 4; ++i) {
        const int roll = (step >> i) % 8;
        const auto kind = static_cast<RouteKind>(roll < 4 ? roll : 3);
        (void)EnqueueEntry(queue, Entry(++next_id, kind), kStart);
      }
      const auto dequeued = DequeueEntry(queue, kStart).entry_;
      RC_ASSERT(dequeued.has_value());
      for (const auto& name : kRouteKindNames) {
        const auto index = static_cast<size_t>(name.value_);
        const bool skipped =
            name.value_ != dequeued->kind_ && !queue.entries_[index].empty();
        int& count = skip_counts[name.value_];
        count = skipped ? count + 1 : 0;
        RC_ASSERT(count < kStarvationBoundDequeues);
      }
    }
  }));
}

// Cancelling the only entry of a due priority must reset its skip count.
TEST_CASE("an emptied priority is no longer due", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(16);
  Add(queue, 1, RouteKind::kSweep);
  for (uint64_t id = 2; id <= 12; ++id) {
    Add(queue, id, RouteKind::kHold);
  }
  for (int i = 0; i < kDueAfterDequeues; ++i) {
    REQUIRE(DequeueEntry(queue, kStart).entry_->kind_ == RouteKind::kHold);
  }
  REQUIRE(CancelEntry(queue, 1));
  Add(queue, 13, RouteKind::kSweep);
  CHECK(DequeueEntry(queue, kStart).entry_->kind_ == RouteKind::kHold);
}

// Guards against a wrong priority order and reordering within a priority.
TEST_CASE("entries are dequeued by priority, then in arrival order",
          "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(16);
  Add(queue, 1, RouteKind::kSweep);
  Add(queue, 2, RouteKind::kLookup);
  Add(queue, 3, RouteKind::kHold);
  Add(queue, 4, RouteKind::kFetch);
  Add(queue, 5, RouteKind::kHold);
  for (const uint64_t id : {3, 5, 4, 2, 1}) {
    CHECK(DequeueEntry(queue, kStart).entry_->id_ == id);
  }
  CHECK_FALSE(DequeueEntry(queue, kStart).entry_);
}

// Guards against queueing requests that cannot meet their deadline.
TEST_CASE("an unreachable deadline is refused early", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(64);
  const Instant now = MeasureServiceRate(queue);
  for (uint64_t id = 1; id <= 10; ++id) {
    Add(queue, id, RouteKind::kFetch);
  }
  CHECK(EstimatedWait(queue, RouteKind::kHold, now) == Duration::zero());
  CHECK(EstimatedWait(queue, RouteKind::kFetch, now) == milliseconds(100));
  QueueEntry entry = Entry(11, RouteKind::kLookup);
  entry.deadline_ = now + milliseconds(119);
  const auto refused = EnqueueEntry(queue, entry, now);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].reason_ == RefusalReason::kDeadlineUnreachable);
  entry.deadline_ = now + milliseconds(120);
  CHECK(EnqueueEntry(queue, entry, now).empty());
}

// A low priority must not be refused if its minimum share serves it in time.
TEST_CASE("the estimated wait respects the minimum share", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(64);
  const Instant now = MeasureServiceRate(queue);
  for (uint64_t id = 1; id <= 30; ++id) {
    Add(queue, id, RouteKind::kHold);
  }
  CHECK(EstimatedWait(queue, RouteKind::kSweep, now) == milliseconds(120));
}

// An idle period must not be counted as a low service rate.
TEST_CASE("idle time does not lower the service rate", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(64);
  const Instant later = MeasureServiceRate(queue) + std::chrono::seconds(50);
  Add(queue, 1, RouteKind::kFetch);
  REQUIRE(DequeueEntry(queue, later).entry_);
  CHECK(CurrentInterval(queue.service_, later) == milliseconds(10));
}

// The estimated wait must rise while no entry is dequeued.
TEST_CASE("a stall raises the estimated wait", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(64);
  const Instant now = MeasureServiceRate(queue);
  Add(queue, 1, RouteKind::kFetch);
  Add(queue, 2, RouteKind::kFetch);
  REQUIRE(DequeueEntry(queue, now).entry_);
  const Instant later = now + std::chrono::seconds(3);
  CHECK(EstimatedWait(queue, RouteKind::kFetch, later) > milliseconds(100));
  REQUIRE(CancelEntry(queue, 2));
  Add(queue, 3, RouteKind::kFetch);
  CHECK(EstimatedWait(queue, RouteKind::kFetch, later) == milliseconds(10));
}

// Guards against displacing the wrong entry, and against higher priorities
// that use the reserved entry of a lower one.
TEST_CASE("a full queue displaces the newest entry of the lowest priority",
          "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(6);
  Add(queue, 1, RouteKind::kSweep);
  Add(queue, 2, RouteKind::kSweep);
  Add(queue, 3, RouteKind::kSweep);
  const auto displace = [&queue](uint64_t id, RouteKind kind) {
    return EnqueueEntry(queue, Entry(id, kind), kStart);
  };
  Add(queue, 4, RouteKind::kFetch);
  auto refused = displace(5, RouteKind::kFetch);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].entry_.id_ == 3);
  CHECK(refused[0].reason_ == RefusalReason::kDisplaced);
  CHECK(displace(6, RouteKind::kFetch)[0].entry_.id_ == 2);
  refused = displace(7, RouteKind::kFetch);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].entry_.id_ == 7);
  CHECK(refused[0].reason_ == RefusalReason::kQueueFull);
  CHECK(displace(8, RouteKind::kHold).empty());
  CHECK(displace(9, RouteKind::kHold)[0].entry_.id_ == 6);
  CHECK(QueueLength(queue) == 5);
  Add(queue, 10, RouteKind::kLookup);
}

// Guards against entries that stay queued although they cannot finish in time.
TEST_CASE("entries expire when they cannot start in time", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(8);
  REQUIRE(EnqueueEntry(queue, Entry(1, RouteKind::kSweep, 70), kStart).empty());
  REQUIRE(EnqueueEntry(queue, Entry(2, RouteKind::kSweep, 60), kStart).empty());
  CHECK(NextExpiry(queue) == kStart + milliseconds(40));
  CHECK(ExpireEntries(queue, kStart + milliseconds(40)).empty());
  const auto result = DequeueEntry(queue, kStart + milliseconds(41));
  REQUIRE(result.refused_.size() == 1);
  CHECK(result.refused_[0].entry_.id_ == 2);
  CHECK(result.refused_[0].reason_ == RefusalReason::kExpired);
  CHECK(result.entry_->id_ == 1);
  CHECK_FALSE(NextExpiry(queue));
}

// A graceful shutdown must not drop queued requests.
TEST_CASE("draining refuses new entries but not queued ones", "[queue]") {
  AdmissionQueue queue = MakeAdmissionQueue(8);
  Add(queue, 1, RouteKind::kHold);
  queue.draining_ = true;
  const auto refused = EnqueueEntry(queue, Entry(2, RouteKind::kHold), kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].reason_ == RefusalReason::kDraining);
  CHECK(DequeueEntry(queue, kStart).entry_->id_ == 1);
}

}  // namespace
}  // namespace clementinerill
