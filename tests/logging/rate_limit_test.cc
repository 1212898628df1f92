#include "logging/rate_limit.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

constexpr LogRateLimit kLimit{2, std::chrono::seconds(1)};

// Guards against a hot path that floods the log, and against suppressed lines
// that are not reported.
TEST_CASE("lines above the limit are suppressed and counted", "[rate]") {
  LogRateState state;
  const Instant start{};
  CHECK(AdmitLogLine(kLimit, state, start).write_);
  CHECK(AdmitLogLine(kLimit, state, start + milliseconds(999)).write_);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(AdmitLogLine(kLimit, state, start + milliseconds(999)).write_);
  }
  const auto next = AdmitLogLine(kLimit, state, start + milliseconds(1'000));
  CHECK(next.write_);
  CHECK(next.suppressed_ == 3);
  CHECK(AdmitLogLine(kLimit, state, start + milliseconds(1'500)).suppressed_ ==
        0);
  CHECK_FALSE(AdmitLogLine(kLimit, state, start + milliseconds(1'999)).write_);
}

// Guards against a count that is not reported if no further line follows, or
// that is reported twice.
TEST_CASE("suppressed lines are reported without a further line", "[rate]") {
  LogRateState state;
  const Instant start{};
  for (int i = 0; i < 7; ++i) {
    (void)AdmitLogLine(kLimit, state, start);
  }
  CHECK(TakeSuppressedCount(kLimit, state, start + milliseconds(999)) == 0);
  CHECK(TakeSuppressedCount(kLimit, state, start + milliseconds(1'000)) == 5);
  CHECK(TakeSuppressedCount(kLimit, state, start + milliseconds(2'000)) == 0);
  CHECK(AdmitLogLine(kLimit, state, start + milliseconds(2'000)).suppressed_ ==
        0);
}

}  // namespace
}  // namespace clementinerill
