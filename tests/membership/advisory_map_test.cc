#include "membership/advisory_map.h"

#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

rc::Gen<Advisory> AnyAdvisory() {
  return rc::gen::build<Advisory>(
      rc::gen::set(&Advisory::kind_,
                   rc::gen::element(AdvisoryKind::kReplicaCold,
                                    AdvisoryKind::kVersionStopped)),
      rc::gen::set(&Advisory::subject_,
                   rc::gen::element<std::string>("a", "b")),
      rc::gen::set(&Advisory::generation_, rc::gen::inRange<uint64_t>(0, 4)),
      rc::gen::set(&Advisory::active_));
}

// Guards against daemons that end up with different advisories because they
// received the same ones in another order or more than once.
TEST_CASE("merging advisories is commutative and idempotent", "[advisory]") {
  CHECK(rc::check([] {
    auto advisories = *rc::gen::container<std::vector<Advisory>>(AnyAdvisory());
    AdvisoryMap first;
    MergeAdvisories(first, advisories);
    std::reverse(advisories.begin(), advisories.end());
    AdvisoryMap second;
    MergeAdvisories(second, advisories);
    RC_ASSERT(MergeAdvisories(second, advisories).empty());
    RC_ASSERT(DigestOf(first) == DigestOf(second));
    RC_ASSERT(AdvisoriesToSend(first, DigestOf(second)).empty());
  }));
}

// Guards against an outdated advisory that returns a subject to service.
TEST_CASE("a higher generation wins, then active over inactive", "[advisory]") {
  AdvisoryMap map;
  const auto kind = AdvisoryKind::kFailureDomainOut;
  CHECK(MergeAdvisory(map, {kind, "fd-1", 2, false, "a"}));
  CHECK_FALSE(MergeAdvisory(map, {kind, "fd-1", 1, true, "b"}));
  CHECK_FALSE(IsActive(map, kind, "fd-1"));
  CHECK(MergeAdvisory(map, {kind, "fd-1", 2, true, "b"}));
  CHECK_FALSE(MergeAdvisory(map, {kind, "fd-1", 2, false, "a"}));
  CHECK(IsActive(map, kind, "fd-1"));
  CHECK(AdvisoriesToSend(map, 0).size() == 1);
}

}  // namespace
}  // namespace clementinerill
