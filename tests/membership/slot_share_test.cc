#include "membership/slot_share.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against shares that together exceed the limits of a replica, or that
// leave slots or connections unused.
TEST_CASE("the shares of all seats add up to the limit", "[seats]") {
  CHECK(rc::check([](const std::string& replica) {
    Pool pool;
    pool.slots_ = *rc::gen::inRange(1, 50);
    pool.connections_ = *rc::gen::inRange(1, 200);
    pool.seats_ = *rc::gen::inRange(1, 30);
    int slots = 0;
    int connections = 0;
    for (int seat = 0; seat < pool.seats_; ++seat) {
      slots += SlotShare(pool, seat, replica);
      connections += ConnectionShare(pool, seat, replica);
    }
    RC_ASSERT(slots == pool.slots_);
    RC_ASSERT(connections == pool.connections_);
  }));
}

}  // namespace
}  // namespace clementinerill
