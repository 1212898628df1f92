#ifndef CLEMENTINERILL_TRAFFIC_ROUTE_RULE_H_
#define CLEMENTINERILL_TRAFFIC_ROUTE_RULE_H_

#include <array>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Whether a request may run more than once.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
};

inline constexpr std::array<NameEntry<RequestKind>, 2> kRequestKindNames = {{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
}};

/// @brief One destination of a route and its share of the requests.
struct WeightedService {
  std::string service_;
  double weight_ = 1.0;
};

/// @brief Routing rule for requests with a host and a path prefix.
///
/// Either `destinations_` holds the services of which one receives the request,
/// or `shards_` holds the services of a fan-out query, which all contribute to
/// the response.
struct RouteRule {
  std::string name_;
  std::string host_;         ///< Lower case, without a port.
  std::string path_prefix_;  ///< Begins and ends with a slash.
  RequestKind kind_ = RequestKind::kNonIdempotent;
  Duration timeout_{};      ///< Maximum time to the response.
  Duration objective_{};    ///< Latency objective of a response.
  int max_attempts_ = 1;    ///< Replicas that may run the request, per service.
  int priority_ = 0;        ///< 0 is the highest priority.
  bool is_public_ = false;  ///< Needs no API key.
  std::vector<WeightedService> destinations_;
  std::vector<std::string> shards_;
  int record_limit_ = 0;       ///< Records in a response merged from shards.
  double min_coverage_ = 1.0;  ///< Minimum share of the shards in a response.
};

/// @brief Whether requests are sent to several services and their responses
/// are merged.
[[nodiscard]] inline bool IsFanOut(const RouteRule& route) noexcept {
  return !route.shards_.empty();
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_ROUTE_RULE_H_
