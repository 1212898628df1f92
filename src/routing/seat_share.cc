#include "routing/seat_share.h"

#include "base/hash.h"

namespace clementinerill {

int ShareOfSeat(int total,
                int seats,
                int seat,
                std::string_view replica) noexcept {
  const auto count = static_cast<uint64_t>(seats);
  const auto rotated = (static_cast<uint64_t>(seat) + Hash64(replica)) % count;
  const int remainder = total % seats;
  const bool has_extra = static_cast<int>(rotated) < remainder;
  return total / seats + (has_extra ? 1 : 0);
}

int ShareOfSeats(int total,
                 int seats,
                 const std::vector<int>& held,
                 std::string_view replica) noexcept {
  int share = 0;
  for (const int seat : held) {
    share += ShareOfSeat(total, seats, seat, replica);
  }
  return share;
}

}  // namespace clementinerill
