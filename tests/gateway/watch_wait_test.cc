#include "gateway/watch_wait.h"

#include <catch2/catch.hpp>

namespace clementinerill::gateway {
namespace {

using mirror::RelayRole;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against other calls in fleets that need no proof.
TEST_CASE("without a proof the waits follow the propagation delay", "[wait]") {
  CHECK(ConfigurationWatchWait(seconds(5), {}, true) == milliseconds(2000));
  CHECK(ConfigurationWatchWait(seconds(5), {}, false) == milliseconds(3900));
  for (const auto role : {RelayRole::kStandby, RelayRole::kReader}) {
    CHECK(RelayPollWait(seconds(5), {}, role) == milliseconds(800));
    CHECK(RelayPollWait(seconds(3), {}, role) == milliseconds(480));
  }
}

// Guards against proofs that are old at some daemon while all is well, so that
// a single lost call costs 503.
TEST_CASE("in a calm fleet proofs stay below 0.6 of the limit", "[wait]") {
  const Duration delay = GENERATE(milliseconds(1500), milliseconds(3000),
                                  milliseconds(5000), milliseconds(20000));
  const Duration revoke = GENERATE(milliseconds(1000), milliseconds(2000),
                                   milliseconds(5000), milliseconds(30000));
  const Duration max_age = revoke - milliseconds(100);
  const Duration limit = Scale(revoke, 0.6);
  CAPTURE(ToMilliseconds(delay), ToMilliseconds(revoke));
  CHECK(2 * ConfigurationWatchWait(delay, max_age, false) < limit);
  const Duration watcher = 2 * ConfigurationWatchWait(delay, max_age, true);
  const Duration standby =
      watcher + RelayPollWait(delay, max_age, RelayRole::kStandby);
  const Duration reader =
      standby + RelayPollWait(delay, max_age, RelayRole::kReader);
  // The rest is for the time that calls take.
  CHECK(reader <= limit - Scale(revoke, 0.02));
}

// The example deployment: three watchers, about 1,500 store calls in 48 s.
TEST_CASE("the proof costs less than a tenth of the store calls", "[wait]") {
  const auto calls = [](milliseconds wait) {
    return 3 * 48000.0 / static_cast<double>(wait.count());
  };
  const auto with =
      ConfigurationWatchWait(seconds(5), milliseconds(4900), true);
  const auto without = ConfigurationWatchWait(seconds(5), {}, true);
  CHECK(calls(with) - calls(without) < 150);
}

TEST_CASE("a long limit does not lengthen the waits", "[wait]") {
  CHECK(ConfigurationWatchWait(seconds(3), seconds(3600), true) ==
        ConfigurationWatchWait(seconds(3), {}, true));
}

}  // namespace
}  // namespace clementinerill::gateway
