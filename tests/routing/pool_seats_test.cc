#include "routing/pool_seats.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::seconds;

const Instant kNow = Instant(std::chrono::hours(1));

Pool MakePool() {
  Pool pool;
  pool.name_ = "claims";
  pool.slots_ = 3;
  pool.connections_ = 30;
  pool.seats_ = 3;
  return pool;
}

PoolSeats MakeSingleSeat() {
  PoolSeats seats;
  seats.own_ = {{1, SeatPermit{true, kNow, kNow + seconds(1)}, true}};
  return seats;
}

// Guards against sending requests without a valid permit, for example after
// the process was paused.
TEST_CASE("slots are usable only while the permit is valid", "[seats]") {
  const PoolSeats seats = MakeSingleSeat();
  CHECK(UsableSlots(seats, MakePool(), "a", kNow) == 1);
  CHECK(PlanConnections(seats, MakePool(), "a", kNow).share_ == 10);
  CHECK(UsableSlots(seats, MakePool(), "a", kNow + seconds(1)) == 0);
  CHECK(UsableSlots(seats, MakePool(), "a", kNow - seconds(1)) == 0);
  CHECK(UsableSlots({}, MakePool(), "a", kNow) == 0);
  CHECK(EarliestEnd(seats, kNow) == kNow + seconds(1));
}

// Guards against first queries of a new seat holder that find no snapshot
// because the holder has not connected to any upstream yet.
TEST_CASE("a seat pending handover opens connections but has no slots",
          "[seats]") {
  PoolSeats seats = MakeSingleSeat();
  seats.own_[0].permit_.valid_from_ = kNow + seconds(3);
  seats.own_[0].permit_.valid_until_ = kNow + seconds(1);
  CHECK(UsableSlots(seats, MakePool(), "a", kNow) == 0);
  CHECK(PlanConnections(seats, MakePool(), "a", kNow).share_ == 10);
}

// Guards against a planned seat move that aborts running queries.
TEST_CASE("a seat that has moved serves running queries only", "[seats]") {
  PoolSeats seats = MakeSingleSeat();
  CHECK(AcceptsNewQueries(seats, kNow));
  seats.own_[0].accepts_new_ = false;
  CHECK_FALSE(AcceptsNewQueries(seats, kNow));
  CHECK(UsableSlots(seats, MakePool(), "a", kNow) == 1);
}

}  // namespace
}  // namespace clementinerill
