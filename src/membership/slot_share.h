#ifndef CLEMENTINERILL_MEMBERSHIP_SLOT_SHARE_H_
#define CLEMENTINERILL_MEMBERSHIP_SLOT_SHARE_H_

#include <string_view>

#include "config/pool.h"

namespace clementinerill {

/// @brief Slots of `replica` that the holder of seat `seat_index` may use.
///
/// The shares of all seats add up to `pool.slots_`. Which seats receive the
/// remainder depends on the replica, so that no seat is favoured throughout.
[[nodiscard]] int SlotShare(const Pool& pool,
                            int seat_index,
                            std::string_view replica) noexcept;

/// @brief Connections to `replica` that the holder of the seat may keep; the
/// shares add up to `pool.connections_`.
[[nodiscard]] int ConnectionShare(const Pool& pool,
                                  int seat_index,
                                  std::string_view replica) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SLOT_SHARE_H_
