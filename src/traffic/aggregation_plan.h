#ifndef CLEMENTINERILL_TRAFFIC_AGGREGATION_PLAN_H_
#define CLEMENTINERILL_TRAFFIC_AGGREGATION_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "traffic/route_rule.h"

namespace clementinerill::traffic {

/// @brief A daemon that can gather the parts of queries for other daemons.
struct Aggregator {
  std::string name_;
  std::string failure_domain_;
  std::string region_;
  std::string address_;  ///< Where it takes forwarded queries.
  uint16_t port_ = 0;
  int capacity_ = 0;  ///< CPU share in millicores; 0 if unknown.
};

/// @brief Which daemons gather fan-out queries, as seen by one daemon.
///
/// In a large fleet no daemon gets enough queries to keep connections to all
/// shards in use. A few daemons in the failure domains of the replicas gather
/// the queries of all others.
struct AggregationPlan {
  /// The aggregators of this daemon in order of preference. Empty if it gathers
  /// its queries itself.
  std::vector<Aggregator> preferred_;
  /// For an aggregator: those of the other failure domains, by domain, in order
  /// of preference.
  std::map<std::string, std::vector<Aggregator>> remote_;
  int aggregator_count_ = 0;  ///< In the region; 0 if each daemon gathers.
  /// Names of the aggregators of the region; null if each daemon gathers.
  std::shared_ptr<const std::vector<std::string>> aggregators_;
  int region_count_ = 0;  ///< Regions with daemons; 0 if each daemon gathers.
  bool is_aggregator_ = false;
};

/// @brief What a plan is made from.
struct AggregationInput {
  std::string self_;  ///< Name of this daemon.
  std::string failure_domain_;
  std::string region_;
  /// All registered daemons that take forwarded queries; null if unknown.
  std::shared_ptr<const std::vector<Aggregator>> daemons_;
  std::vector<std::string> shard_domains_;  ///< See `ShardDomains`.
};

/// @brief Returns the failure domains in which queries are gathered, given the
/// usable replicas of shards in each: those with about as many as the first.
[[nodiscard]] std::vector<std::string> ShardDomains(
    const std::map<std::string, int>& shard_replicas);

/// @brief Selects the aggregators of each failure domain that holds replicas of
/// shards, those with the most capacity first.
///
/// Deterministic: all daemons with the same input except `self_` select the
/// same aggregators. Fleets that are too small for aggregators get an empty
/// plan.
[[nodiscard]] AggregationPlan PlanAggregation(const AggregationInput& input);

/// @brief Returns all aggregators that this daemon sends queries to.
[[nodiscard]] std::vector<Aggregator> UsedAggregators(
    const AggregationPlan& plan);

/// @brief Whether queries of the route are forwarded: only idempotent fan-out
/// queries with many parts.
[[nodiscard]] bool IsAggregated(const RouteRule& route) noexcept;

/// @brief Parts that an aggregator gathers at a time. It refuses further
/// queries of other daemons, so that they turn elsewhere at once.
[[nodiscard]] size_t MaxPartsInProgress(int capacity) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_AGGREGATION_PLAN_H_
