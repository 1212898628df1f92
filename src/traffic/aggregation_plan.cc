#include "traffic/aggregation_plan.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "base/rendezvous.h"

namespace clementinerill::traffic {
namespace {

// In smaller fleets each daemon gets enough queries to keep its connections in
// use, and follows the store itself.
constexpr size_t kMinDaemons = 16;
// Queries with fewer parts gain less than the additional hop costs.
constexpr size_t kMinParts = 20;
constexpr size_t kDaemonsPerAggregator = 16;
// A second aggregator of a failure domain takes over when the first is lost.
constexpr size_t kMinAggregatorsPerDomain = 2;
// VMs with less than this share of the best capacity gather only if there are
// no others.
constexpr double kMinCapacityShare = 0.5;
// A failure domain with fewer replicas than this share of the largest number is
// not used: most parts would leave it.
constexpr double kMinReplicaShare = 0.5;
// Aggregators of other failure domains that a daemon turns to.
constexpr size_t kRemoteDomains = 2;
// Parts in progress for each millicore. With 60 us of processor time a part and
// 60 ms until its response, 0.6 of the CPU is in use at this number; beyond it
// queries would wait for the CPU.
constexpr double kPartsPerMillicore = 0.8;
constexpr int kMinCapacity = 100;

std::vector<Aggregator> SelectInDomain(const AggregationInput& input,
                                       const std::string& domain,
                                       size_t count) {
  std::vector<Aggregator> selected;
  std::copy_if(input.daemons_->begin(), input.daemons_->end(),
               std::back_inserter(selected), [&](const Aggregator& daemon) {
                 return daemon.failure_domain_ == domain &&
                        daemon.region_ == input.region_;
               });
  std::sort(selected.begin(), selected.end(),
            [](const Aggregator& a, const Aggregator& b) {
              return a.capacity_ != b.capacity_ ? a.capacity_ > b.capacity_
                                                : a.name_ < b.name_;
            });
  selected.resize(std::min(selected.size(), count));
  while (selected.size() > kMinAggregatorsPerDomain &&
         selected.back().capacity_ <
             kMinCapacityShare * selected.front().capacity_) {
    selected.pop_back();
  }
  return selected;
}

// Orders by rendezvous with `self`, so that the daemons spread evenly.
std::vector<Aggregator> RankFor(const std::string& self,
                                const std::vector<Aggregator>& aggregators) {
  std::vector<std::string> names;
  names.reserve(aggregators.size());
  for (const Aggregator& aggregator : aggregators) {
    names.push_back(aggregator.name_);
  }
  std::vector<Aggregator> ranked;
  ranked.reserve(names.size());
  for (const std::string& name :
       RankByRendezvous("aggregator:" + self, names)) {
    ranked.push_back(*std::find_if(
        aggregators.begin(), aggregators.end(),
        [&name](const Aggregator& a) { return a.name_ == name; }));
  }
  return ranked;
}

using AggregatorsByDomain = std::map<std::string, std::vector<Aggregator>>;

size_t AggregatorsPerDomain(const AggregationInput& input) {
  const size_t daemons = input.daemons_->size();
  const size_t daemons_per_round =
      input.shard_domains_.size() * kDaemonsPerAggregator;
  return std::max(kMinAggregatorsPerDomain,
                  (daemons + daemons_per_round - 1) / daemons_per_round);
}

int CountRegions(const std::vector<Aggregator>& daemons) {
  std::set<std::string> regions;
  for (const Aggregator& daemon : daemons) {
    regions.insert(daemon.region_);
  }
  return static_cast<int>(regions.size());
}

bool Contains(const std::vector<Aggregator>& aggregators,
              const std::string& name) {
  return std::any_of(aggregators.begin(), aggregators.end(),
                     [&name](const Aggregator& aggregator) {
                       return aggregator.name_ == name;
                     });
}

// All aggregators of the own failure domain, or of another one if it has none,
// then one of each of a few others.
std::vector<Aggregator> OrderByPreference(const AggregationInput& input,
                                          const AggregatorsByDomain& selected) {
  std::vector<std::string> domains;
  domains.reserve(selected.size());
  for (const auto& [domain, aggregators] : selected) {
    domains.push_back(domain);
  }
  domains = RankByRendezvous("aggregation:" + input.self_, domains);
  std::stable_partition(domains.begin(), domains.end(),
                        [&input](const std::string& domain) {
                          return domain == input.failure_domain_;
                        });
  std::vector<Aggregator> ordered;
  for (size_t i = 0; i < domains.size() && i <= kRemoteDomains; ++i) {
    const auto& aggregators = selected.at(domains[i]);
    const size_t count = i == 0 ? aggregators.size() : 1;
    ordered.insert(ordered.end(), aggregators.begin(),
                   aggregators.begin() + static_cast<int>(count));
  }
  return ordered;
}

}  // namespace

std::vector<std::string> ShardDomains(
    const std::map<std::string, int>& shard_replicas) {
  int most = 0;
  for (const auto& [domain, replicas] : shard_replicas) {
    most = std::max(most, replicas);
  }
  std::vector<std::string> domains;
  for (const auto& [domain, replicas] : shard_replicas) {
    if (replicas > 0 && replicas >= kMinReplicaShare * most) {
      domains.push_back(domain);
    }
  }
  return domains;
}

AggregationPlan PlanAggregation(const AggregationInput& input) {
  AggregationPlan plan;
  if (!input.daemons_ || input.daemons_->size() < kMinDaemons ||
      input.shard_domains_.empty()) {
    return plan;
  }
  const size_t per_domain = AggregatorsPerDomain(input);
  AggregatorsByDomain selected;
  std::vector<std::string> names;
  for (const std::string& domain : input.shard_domains_) {
    const auto aggregators = SelectInDomain(input, domain, per_domain);
    plan.aggregator_count_ += static_cast<int>(aggregators.size());
    for (const Aggregator& aggregator : aggregators) {
      names.push_back(aggregator.name_);
    }
    plan.is_aggregator_ =
        plan.is_aggregator_ || Contains(aggregators, input.self_);
    if (!aggregators.empty()) {
      selected[domain] = RankFor(input.self_, aggregators);
    }
  }
  if (!names.empty()) {
    plan.aggregators_ =
        std::make_shared<const std::vector<std::string>>(std::move(names));
    plan.region_count_ = CountRegions(*input.daemons_);
  }
  if (plan.is_aggregator_) {
    selected.erase(input.failure_domain_);
    plan.remote_ = std::move(selected);
  } else {
    plan.preferred_ = OrderByPreference(input, selected);
  }
  return plan;
}

std::vector<Aggregator> UsedAggregators(const AggregationPlan& plan) {
  std::vector<Aggregator> used = plan.preferred_;
  for (const auto& [domain, aggregators] : plan.remote_) {
    used.insert(used.end(), aggregators.begin(), aggregators.end());
  }
  return used;
}

bool IsAggregated(const RouteRule& route) noexcept {
  return IsFanOut(route) && route.kind_ == RequestKind::kIdempotent &&
         route.shards_.size() >= kMinParts;
}

size_t MaxPartsInProgress(int capacity) noexcept {
  return static_cast<size_t>(std::max(capacity, kMinCapacity) *
                             kPartsPerMillicore);
}

}  // namespace clementinerill::traffic
