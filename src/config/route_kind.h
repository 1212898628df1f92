#ifndef CLEMENTINERILL_CONFIG_ROUTE_KIND_H_
#define CLEMENTINERILL_CONFIG_ROUTE_KIND_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How a route is served, in rising order of priority.
enum class RouteKind {
  kSweep,   ///< Every service of the pool; top matches merged.
  kLookup,  ///< Every service of the pool; a smaller answer.
  kFetch,   ///< One upstream; idempotent.
  kHold,    ///< One upstream; non-idempotent.
};

inline constexpr std::array<NameEntry<RouteKind>, 4> kRouteKindNames = {{
    {RouteKind::kSweep, "sweep"},
    {RouteKind::kLookup, "lookup"},
    {RouteKind::kFetch, "fetch"},
    {RouteKind::kHold, "hold"},
}};

/// @brief Whether the route asks every service of its pool.
[[nodiscard]] constexpr bool FansOut(RouteKind kind) noexcept {
  return kind == RouteKind::kSweep || kind == RouteKind::kLookup;
}

/// @brief Whether a request may be sent more than once.
[[nodiscard]] constexpr bool IsIdempotent(RouteKind kind) noexcept {
  return kind != RouteKind::kHold;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_ROUTE_KIND_H_
