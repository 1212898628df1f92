#include "sweep/coverage.h"

#include <bitset>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against counting a shard twice when its key range overlaps another one
// after repartitioning.
TEST_CASE("overlapping ranges are counted once", "[coverage]") {
  Coverage coverage;
  coverage.Add({0, kKeySpaceEnd / 2});
  coverage.Add({kKeySpaceEnd / 4, kKeySpaceEnd / 2});
  CHECK(coverage.CoveredKeys() == kKeySpaceEnd / 2);
  CHECK(coverage.Missing() ==
        std::vector<KeyRange>{{kKeySpaceEnd / 2, kKeySpaceEnd}});
}

// Guards against rounding that reports a small gap as full coverage.
TEST_CASE("one missing key is not full coverage", "[coverage]") {
  Coverage coverage;
  coverage.Add({0, kKeySpaceEnd - 1});
  CHECK_FALSE(coverage.IsFull());
  CHECK(coverage.Fraction() < 1);
}

// Guards against wrong unions, in whatever order the ranges are added.
TEST_CASE("coverage equals a bitmap of the ranges", "[coverage]") {
  constexpr uint64_t kCells = 64;
  constexpr uint64_t kCell = kKeySpaceEnd / kCells;
  CHECK(rc::check([&] {
    std::bitset<kCells> cells;
    Coverage coverage;
    const auto ranges =
        *rc::gen::container<std::vector<std::pair<uint64_t, uint64_t>>>(
            rc::gen::pair(rc::gen::inRange<uint64_t>(0, kCells),
                          rc::gen::inRange<uint64_t>(0, kCells + 1)));
    for (const auto& [begin, end] : ranges) {
      coverage.Add({begin * kCell, end * kCell});
      for (uint64_t cell = begin; cell < end; ++cell) {
        cells.set(cell);
      }
    }
    uint64_t missing = 0;
    for (const KeyRange& range : coverage.Missing()) {
      missing += range.end_ - range.begin_;
    }
    RC_ASSERT(coverage.CoveredKeys() == cells.count() * kCell);
    RC_ASSERT(missing == (kCells - cells.count()) * kCell);
  }));
}

// Guards against accepting a malformed header as a key range.
TEST_CASE("malformed ranges are rejected", "[coverage]") {
  CHECK(ParseKeyRange("0-4294967296") == KeyRange{0, kKeySpaceEnd});
  for (const char* text : {"", "-", "5-5", "7-3", "0-4294967297", "0-1x"}) {
    CHECK_FALSE(ParseKeyRange(text));
  }
}

}  // namespace
}  // namespace clementinerill
