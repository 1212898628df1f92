#ifndef CLEMENTINERILL_CONFIG_ROUTE_KIND_H_
#define CLEMENTINERILL_CONFIG_ROUTE_KIND_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How requests of a route are processed, in ascending priority.
enum class RouteKind {
  kSweep,   ///< Fan-out to every service of the pool; top matches merged.
  kLookup,  ///< Fan-out to every service of the pool; a smaller response.
  kFetch,   ///< One upstream; idempotent.
  kHold,    ///< One upstream; non-idempotent.
};

inline constexpr std::array<NameEntry<RouteKind>, 4> kRouteKindNames = {{
    {RouteKind::kSweep, "sweep"},
    {RouteKind::kLookup, "lookup"},
    {RouteKind::kFetch, "fetch"},
    {RouteKind::kHold, "hold"},
}};

/// @brief Whether requests are sent to every service of the pool.
[[nodiscard]] constexpr bool FansOut(RouteKind kind) noexcept {
  return kind == RouteKind::kSweep || kind == RouteKind::kLookup;
}

/// @brief Whether a request may be sent more than once.
[[nodiscard]] constexpr bool IsIdempotent(RouteKind kind) noexcept {
  return kind != RouteKind::kHold;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_ROUTE_KIND_H_
