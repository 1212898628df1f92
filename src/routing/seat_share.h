#ifndef CLEMENTINERILL_ROUTING_SEAT_SHARE_H_
#define CLEMENTINERILL_ROUTING_SEAT_SHARE_H_

#include <string_view>
#include <vector>

namespace clementinerill {

/// @brief The part of `total` that one seat of a pool carries for a replica.
///
/// The shares of all seats add up to `total` exactly. The remainder goes to
/// seats chosen by the hash of the replica, so that it is spread evenly.
[[nodiscard]] int ShareOfSeat(int total,
                              int seats,
                              int seat,
                              std::string_view replica) noexcept;

/// @brief The sum of `ShareOfSeat` over several seats.
[[nodiscard]] int ShareOfSeats(int total,
                               int seats,
                               const std::vector<int>& held,
                               std::string_view replica) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_SEAT_SHARE_H_
