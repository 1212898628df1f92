#ifndef CLEMENTINERILL_CONFIG_ROUTE_H_
#define CLEMENTINERILL_CONFIG_ROUTE_H_

#include <chrono>
#include <string>

#include "config/route_kind.h"
#include "config/selector.h"

namespace clementinerill {

/// @brief A named route by which clients send requests to a pool.
struct Route {
  std::string name_;
  RouteKind kind_ = RouteKind::kFetch;
  std::string pool_;   ///< Name of a declared pool.
  Selector selector_;  ///< Selects among the upstreams of the pool.
  std::chrono::milliseconds default_deadline_{1000};
  std::chrono::milliseconds longest_deadline_{10000};
  int top_ = 10;  ///< Number of matches in the merged response.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_ROUTE_H_
