#ifndef CLEMENTINERILL_WARMUP_SEAT_ROLE_H_
#define CLEMENTINERILL_WARMUP_SEAT_ROLE_H_

namespace clementinerill {

/// @brief Whether this daemon holds the warm-up seat of a replica.
enum class SeatRole {
  kWarmup,  ///< Holds the warm-up seat: sole sender while the replica is cold.
  kOther,   ///< Holds another seat of the pool.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_SEAT_ROLE_H_
