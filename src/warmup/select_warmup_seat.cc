#include "warmup/select_warmup_seat.h"

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/hash.h"

namespace clementinerill {

std::optional<int> SelectWarmupSeat(const std::vector<int>& seat_slots,
                                    std::string_view replica) {
  const uint64_t key_hash = Hash64(replica);
  std::optional<int> best;
  uint64_t best_score = 0;
  for (size_t seat = 0; seat < seat_slots.size(); ++seat) {
    const uint64_t score = Hash64(std::to_string(seat), key_hash);
    if (seat_slots[seat] > 0 && (!best || score > best_score)) {
      best = static_cast<int>(seat);
      best_score = score;
    }
  }
  return best;
}

}  // namespace clementinerill
