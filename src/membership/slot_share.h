#ifndef CLEMENTINERILL_MEMBERSHIP_SLOT_SHARE_H_
#define CLEMENTINERILL_MEMBERSHIP_SLOT_SHARE_H_

#include <string_view>

#include "config/pool.h"

namespace clementinerill {

/// @brief Returns how many slots of `replica` the holder of seat `seat_index`
/// may use.
///
/// The shares of all seats add up to `pool.slots_`. Which seats receive the
/// remainder of the division depends on the replica, so that no seat has the
/// larger share of every replica.
[[nodiscard]] int SlotShare(const Pool& pool,
                            int seat_index,
                            std::string_view replica) noexcept;

/// @brief Returns how many connections to `replica` the holder of the seat may
/// keep open; the shares of all seats add up to `pool.connections_`.
[[nodiscard]] int ConnectionShare(const Pool& pool,
                                  int seat_index,
                                  std::string_view replica) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SLOT_SHARE_H_
