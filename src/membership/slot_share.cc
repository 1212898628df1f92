#include "membership/slot_share.h"

#include <cstdint>

#include "base/hash.h"
#include "base/invariant.h"

namespace clementinerill {
namespace {

int ShareOf(int total, int seats, int seat_index, std::string_view replica) {
  CR_INVARIANT(seats > 0 && seat_index >= 0 && seat_index < seats);
  const auto k = static_cast<uint64_t>(seats);
  const uint64_t offset = Hash64(replica) % k;
  const uint64_t position = (static_cast<uint64_t>(seat_index) + offset) % k;
  const int extra = position < static_cast<uint64_t>(total % seats) ? 1 : 0;
  return total / seats + extra;
}

}  // namespace

int SlotShare(const Pool& pool,
              int seat_index,
              std::string_view replica) noexcept {
  return ShareOf(pool.slots_, pool.seats_, seat_index, replica);
}

int ConnectionShare(const Pool& pool,
                    int seat_index,
                    std::string_view replica) noexcept {
  return ShareOf(pool.connections_, pool.seats_, seat_index, replica);
}

}  // namespace clementinerill
