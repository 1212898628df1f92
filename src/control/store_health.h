#ifndef CLEMENTINERILL_CONTROL_STORE_HEALTH_H_
#define CLEMENTINERILL_CONTROL_STORE_HEALTH_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Availability of the store as observed by one daemon.
enum class StoreHealth {
  kNotAsked,
  kAvailable,
  kOutage,  ///< Calls have failed for at least `kOutageThreshold`.
  kBehind,  ///< Responds with an older version than the one in force.
};

inline constexpr std::array<NameEntry<StoreHealth>, 4> kStoreHealthNames = {{
    {StoreHealth::kNotAsked, "not asked"},
    {StoreHealth::kAvailable, "available"},
    {StoreHealth::kOutage, "outage"},
    {StoreHealth::kBehind, "behind"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_HEALTH_H_
