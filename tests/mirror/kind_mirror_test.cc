#include <catch2/catch.hpp>

#include "mirror/mirror.h"

namespace clementinerill::mirror {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

KindChanges List(int64_t revision, std::vector<StoredObject> objects) {
  return {revision, true, std::move(objects), {}};
}

// Guards against a copy that reverts to an older state after a stale read or
// because a relay lags behind.
TEST_CASE("older changes are ignored", "[mirror]") {
  KindMirror mirror;
  CHECK(Apply(mirror, List(10, {{"a", 1}})));
  CHECK_FALSE(Apply(mirror, List(9, {})));
  CHECK_FALSE(Apply(mirror, {10, false, {{"a", 0}}, {}}));
  CHECK(mirror.objects_.at("a").content_ == 1);
  CHECK(Apply(mirror, {12, false, {{"b", 2}}, {"a"}}));
  CHECK(mirror.objects_.count("a") == 0);
  CHECK(mirror.revision_ == 12);
}

// Guards against changes that a reader misses because several changes of an
// object were merged or because it is behind the start of the change history.
TEST_CASE("a reader receives all changes after its revision", "[mirror]") {
  KindMirror mirror;
  Apply(mirror, List(10, {{"a", 1}, {"b", 1}}));
  Apply(mirror, {12, false, {{"a", 2}}, {}});
  Apply(mirror, {14, false, {{"a", 3}}, {"b"}});
  const KindChanges recent = ChangesSince(mirror, 0, 12);
  CHECK_FALSE(recent.is_full_list_);
  REQUIRE(recent.upserted_.size() == 1);
  CHECK(recent.upserted_[0].content_ == 3);
  CHECK(recent.removed_ == std::vector<std::string>{"b"});
  CHECK(ChangesSince(mirror, 0, 14).upserted_.empty());
  CHECK(ChangesSince(mirror, 0, 9).is_full_list_);
  CHECK(ChangesSince(mirror, 0, 0).is_full_list_);
}

// Guards against changes that are lost after an exception has ended their
// application, and against a copy that reverts to an older state because of it.
TEST_CASE("a doubtful copy waits for a full list", "[mirror]") {
  KindMirror mirror;
  CHECK(Apply(mirror, List(10, {{"a", 1}})));
  mirror.proven_at_ = BootInstant{};
  Doubt(mirror);
  CHECK(KnownRevision(mirror) == 0);
  CHECK_FALSE(mirror.proven_at_);
  CHECK_FALSE(Apply(mirror, {12, false, {{"a", 2}}, {}}));
  CHECK_FALSE(Apply(mirror, List(9, {})));
  CHECK(Apply(mirror, List(10, {{"a", 1}, {"b", 1}})));
  CHECK(KnownRevision(mirror) == 10);
  CHECK(Apply(mirror, {12, false, {{"a", 2}}, {}}));
}

// Guards against a copy that stays as it is when the store returns from an
// older copy with lower revisions, and against one that takes changes of
// another era for the next ones.
TEST_CASE("a later era replaces the copy by a full list only", "[mirror]") {
  const auto in_era = [](int64_t era, KindChanges changes) {
    changes.era_ = era;
    return changes;
  };
  KindMirror mirror;
  CHECK(Apply(mirror, in_era(1, List(20, {{"a", 2}, {"b", 1}}))));
  CHECK_FALSE(Apply(mirror, in_era(2, {25, false, {{"c", 1}}, {}})));
  CHECK(Apply(mirror, in_era(2, List(10, {{"a", 1}}))));
  CHECK(mirror.revision_ == 10);
  CHECK(mirror.objects_.size() == 1);
  CHECK_FALSE(Apply(mirror, in_era(1, List(30, {}))));
  CHECK_FALSE(Apply(mirror, in_era(1, {30, false, {}, {"a"}})));
  CHECK(Apply(mirror, in_era(2, {11, false, {{"a", 3}}, {}})));
  // Revisions of a reader in another era say nothing, whether they are higher
  // or lower.
  CHECK(ChangesSince(mirror, 1, 10).is_full_list_);
  CHECK(ChangesSince(mirror, 1, 30).is_full_list_);
  CHECK(ChangesSince(mirror, 1, 30).era_ == 2);
  CHECK_FALSE(ChangesSince(mirror, 2, 10).is_full_list_);
  CHECK(ChangesSince(mirror, 2, 10).era_ == 2);
}

// Guards against a reader that misses changes which the relay has dropped from
// its history.
TEST_CASE("a reader behind the change history receives a full list",
          "[mirror]") {
  KindMirror mirror;
  Apply(mirror, List(1, {}));
  for (int64_t revision = 2; revision < 3000; ++revision) {
    Apply(mirror, {revision, false, {{std::to_string(revision), 1}}, {}});
  }
  KindMirror reader;
  Apply(reader, List(1, {}));
  for (const int64_t at : {int64_t{1}, int64_t{500}, int64_t{2990}}) {
    KindMirror behind;
    Apply(behind, List(at, {}));
    for (int64_t r = 2; r <= at; ++r) {
      behind.objects_[std::to_string(r)] = {std::to_string(r), 1};
    }
    Apply(behind, ChangesSince(mirror, 0, at));
    CHECK(behind.objects_.size() == mirror.objects_.size());
  }
}

// Guards against a relay that passes for up to date because it was polled, not
// because the store confirmed its copy.
TEST_CASE("the age is measured from the latest confirmation", "[mirror]") {
  KindMirror mirror;
  const Instant start{seconds(100)};
  CHECK(Age(mirror, start) == Duration::max());
  Confirm(mirror, start);
  Confirm(mirror, start - seconds(5));
  CHECK(Age(mirror, start + milliseconds(700)) == milliseconds(700));
}

}  // namespace
}  // namespace clementinerill::mirror
