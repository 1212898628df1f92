#include "routing/seat_share.h"

#include <string>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against shares whose sum exceeds what a replica bears.
TEST_CASE("the shares of all seats add up exactly", "[seats]") {
  for (int total = 0; total <= 40; ++total) {
    for (int seats = 1; seats <= 21; ++seats) {
      const std::string replica = "r-" + std::to_string(total);
      int sum = 0;
      for (int seat = 0; seat < seats; ++seat) {
        sum += ShareOfSeat(total, seats, seat, replica);
      }
      REQUIRE(sum == total);
    }
  }
}

// Guards against a remainder that always falls to the same seat.
TEST_CASE("the remainder is spread over the seats", "[seats]") {
  int first_seat = 0;
  for (int replica = 0; replica < 300; ++replica) {
    first_seat += ShareOfSeat(1, 3, 0, "r-" + std::to_string(replica));
  }
  CHECK(first_seat > 60);
  CHECK(first_seat < 140);
}

}  // namespace
}  // namespace clementinerill
