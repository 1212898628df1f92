#ifndef CLEMENTINERILL_WARMUP_SELECT_WARMUP_SEAT_H_
#define CLEMENTINERILL_WARMUP_SELECT_WARMUP_SEAT_H_

#include <optional>
#include <string_view>
#include <vector>

namespace clementinerill {

/// @brief Selects the only seat that may send to `replica` while it is cold.
///
/// `seat_slots` holds the share of each seat at this replica, by seat index.
/// Only seats with at least one slot are eligible. The selection uses
/// rendezvous hashing: every daemon selects the same seat, and removing a seat
/// reassigns only the replicas that it was responsible for.
/// @return the seat index, or nothing if no seat has a slot.
[[nodiscard]] std::optional<int> SelectWarmupSeat(
    const std::vector<int>& seat_slots,
    std::string_view replica);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_SELECT_WARMUP_SEAT_H_
