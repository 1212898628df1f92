#ifndef CLEMENTINERILL_CAPACITY_SPREAD_H_
#define CLEMENTINERILL_CAPACITY_SPREAD_H_

#include <cstdint>

namespace clementinerill::capacity {

/// @brief Returns a number from 0 to 1 that looks random but depends only on
/// the arguments.
///
/// `seed` differs between daemons, `sequence` between the requests of a daemon
/// and `position` between the replicas of a service. Costs of replicas are
/// varied by it, so that daemons which know the same do not all choose the
/// same replica.
[[nodiscard]] double SpreadFraction(uint64_t seed,
                                    uint64_t sequence,
                                    uint64_t position) noexcept;

}  // namespace clementinerill::capacity

#endif  // CLEMENTINERILL_CAPACITY_SPREAD_H_
