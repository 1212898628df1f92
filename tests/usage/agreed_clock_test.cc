#include <string>

#include <catch2/catch.hpp>

#include "usage/usage.h"

namespace clementinerill::usage {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr BootInstant kStart{hours(5)};
constexpr WallTime kTrueTime{1'764'633'600'000};

// Time since 1970 at a point of the boot clock, on a clock without error.
WallTime TrueTime(BootInstant now) {
  return kTrueTime + std::chrono::duration_cast<milliseconds>(now - kStart);
}

RoundTrip Trip(BootInstant now, milliseconds took = milliseconds(2)) {
  return {now - took, now, {}};
}

AgreedClock StartClock() {
  AgreedClock clock;
  clock.started_ = kStart;
  return clock;
}

// Samples all clocks, the own one with an error, and agrees.
void Sample(AgreedClock& clock, BootInstant now, milliseconds own_error) {
  RecordOwnClock(clock, TrueTime(now) + own_error, now);
  for (const char* daemon : {"b", "c", "d"}) {
    RecordClock(clock, daemon, TrueTime(now) - milliseconds(1), Trip(now));
  }
  Agree(clock, now);
}

// Guards against counts that move to another window when a clock is stepped.
TEST_CASE("a step of the own wall clock does not change the agreed time",
          "[clock]") {
  AgreedClock clock = StartClock();
  Sample(clock, kStart, {});
  CHECK(AgreedTime(clock, kStart) == TrueTime(kStart));
  const BootInstant later = kStart + minutes(3);
  Sample(clock, later, seconds(7));
  CHECK(std::chrono::abs(*AgreedTime(clock, later) - TrueTime(later)) <=
        milliseconds(1));
}

// Guards against a wrong clock of another daemon that shifts all windows.
TEST_CASE("one wrong clock among three is outvoted", "[clock]") {
  AgreedClock clock = StartClock();
  RecordOwnClock(clock, TrueTime(kStart), kStart);
  RecordClock(clock, "b", TrueTime(kStart) - seconds(30), Trip(kStart));
  RecordClock(clock, "c", TrueTime(kStart), Trip(kStart));
  Agree(clock, kStart);
  CHECK(AgreedTime(clock, kStart) == TrueTime(kStart));
}

// Guards against requests that are counted by a wrong own clock before others
// were heard.
TEST_CASE("no time is agreed before others had time to answer", "[clock]") {
  AgreedClock clock = StartClock();
  RecordOwnClock(clock, TrueTime(kStart), kStart);
  Agree(clock, kStart);
  CHECK_FALSE(AgreedTime(clock, kStart));
  // A single daemon has only its own clock.
  Agree(clock, kStart + seconds(5));
  CHECK(AgreedTime(clock, kStart + seconds(5)) ==
        TrueTime(kStart + seconds(5)));
}

// Guards against a step of the clock of a daemon that hears of no other one.
TEST_CASE("a step of the only clock counts once it has lasted", "[clock]") {
  AgreedClock clock = StartClock();
  RecordOwnClock(clock, TrueTime(kStart), kStart);
  Agree(clock, kStart + seconds(5));
  BootInstant now = kStart + seconds(10);
  for (; now < kStart + seconds(65); now += seconds(1)) {
    RecordOwnClock(clock, TrueTime(now) + seconds(3), now);
    Agree(clock, now);
    REQUIRE(AgreedTime(clock, now) == TrueTime(now));
  }
  for (int i = 0; i < 10; ++i, now += seconds(1)) {
    RecordOwnClock(clock, TrueTime(now) + seconds(3), now);
    Agree(clock, now);
  }
  CHECK(AgreedTime(clock, now) == TrueTime(now) + seconds(3));
}

// Guards against responses that waited for a frozen daemon and then state a
// time that has passed.
TEST_CASE("slow responses are no samples", "[clock]") {
  AgreedClock clock = StartClock();
  Sample(clock, kStart, {});
  const BootInstant later = kStart + seconds(20);
  for (const char* daemon : {"b", "c", "d"}) {
    RecordClock(clock, daemon, TrueTime(later) - seconds(4),
                Trip(later, seconds(4)));
  }
  Agree(clock, later);
  CHECK(std::chrono::abs(*AgreedTime(clock, later) - TrueTime(later)) <=
        milliseconds(1));
}

// Guards against an agreed time that ends with the samples: the boot clock
// goes on while a daemon is cut off.
TEST_CASE("the agreed time outlasts its samples", "[clock]") {
  AgreedClock clock = StartClock();
  Sample(clock, kStart, {});
  const BootInstant later = kStart + hours(1);
  RecordOwnClock(clock, TrueTime(later) - seconds(9), later);
  Agree(clock, later);
  CHECK(AgreedTime(clock, later) == TrueTime(later));
}

// Guards against readers that count by their own clock.
TEST_CASE("a reader takes over the time of its relay", "[clock]") {
  AgreedClock clock = StartClock();
  RecordOwnClock(clock, TrueTime(kStart) + seconds(50), kStart);
  const RoundTrip trip{kStart - milliseconds(480), kStart, milliseconds(478)};
  RecordRelayTime(clock, TrueTime(kStart) - milliseconds(1), trip);
  Agree(clock, kStart);
  CHECK(AgreedTime(clock, kStart) == TrueTime(kStart));
}

}  // namespace
}  // namespace clementinerill::usage
