#include "traffic/delegation.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash.h"
#include "traffic/fleet_state.h"
#include "traffic/query.h"
#include "traffic/replica_eligibility.h"

namespace clementinerill::traffic {
namespace {

// A message between failure domains costs about as much as this many parts.
constexpr size_t kMinDelegatedParts = 4;
// Each delegation may fail as a whole, so there are few.
constexpr size_t kMaxDelegations = 3;

bool IsUsableIn(const FleetState& fleet,
                const ServiceState& service,
                const std::string& domain,
                Instant now) {
  return std::any_of(service.replicas_.begin(), service.replicas_.end(),
                     [&](const std::shared_ptr<ReplicaState>& replica) {
                       return replica->entry_.failure_domain_ == domain &&
                              EligibilityOf(*fleet.view_, *replica, now) ==
                                  ReplicaEligibility::kUsable;
                     });
}

// The domain that has replicas of most of the parts. Queries take turns among
// domains with equally many.
std::string BestDomain(
    const Query& query,
    const std::map<std::string, std::vector<size_t>>& parts) {
  const auto better = [&query](const auto& a, const auto& b) {
    return a.second.size() != b.second.size()
               ? a.second.size() < b.second.size()
               : Hash64(query.id_ + a.first) < Hash64(query.id_ + b.first);
  };
  return std::max_element(parts.begin(), parts.end(), better)->first;
}

void AddDelegation(Query& query,
                   const std::string& domain,
                   const std::vector<size_t>& parts) {
  const size_t total = query.parts_.size();
  Delegation delegation;
  delegation.failure_domain_ = domain;
  delegation.subset_.parts_ = parts;
  delegation.subset_.max_missing_ = total - RequiredParts(query);
  delegation.subset_.max_skipped_ =
      delegation.subset_.max_missing_ * parts.size() / total;
  query.delegations_.push_back(std::move(delegation));
  for (const size_t part : parts) {
    query.parts_[part].is_delegated_ = true;
  }
}

}  // namespace

void DelegateParts(const FleetState& fleet, Query& query, Instant now) {
  const auto& remote = fleet.aggregation_.remote_;
  if (remote.empty() || !IsAggregated(*query.route_) || query.subset_) {
    return;
  }
  std::map<std::string, std::vector<size_t>> parts_by_domain;
  for (size_t i = 0; i < query.parts_.size(); ++i) {
    const auto& service = query.parts_[i].service_;
    if (!service || IsUsableIn(fleet, *service, fleet.failure_domain_, now)) {
      continue;
    }
    for (const auto& [domain, aggregators] : remote) {
      if (IsUsableIn(fleet, *service, domain, now)) {
        parts_by_domain[domain].push_back(i);
      }
    }
  }
  while (!parts_by_domain.empty() &&
         query.delegations_.size() < kMaxDelegations) {
    const std::string domain = BestDomain(query, parts_by_domain);
    const std::vector<size_t> parts = parts_by_domain[domain];
    if (parts.size() < kMinDelegatedParts) {
      return;
    }
    AddDelegation(query, domain, parts);
    for (auto& [other, remaining] : parts_by_domain) {
      remaining.erase(std::remove_if(remaining.begin(), remaining.end(),
                                     [&query](size_t part) {
                                       return query.parts_[part].is_delegated_;
                                     }),
                      remaining.end());
    }
  }
}

void RecordDelegation(Query& query,
                      size_t delegation,
                      size_t missing,
                      std::string signatures,
                      std::string body) {
  Delegation& recorded = query.delegations_[delegation];
  recorded.state_ = DelegationState::kAnswered;
  recorded.signatures_ = std::move(signatures);
  recorded.body_ = std::move(body);
  // Which parts are missing is not known, only how many.
  const auto& parts = recorded.subset_.parts_;
  for (size_t i = 0; i < parts.size(); ++i) {
    QueryPart& part = query.parts_[parts[i]];
    const bool is_missing = i + missing >= parts.size();
    part.state_ = is_missing ? PartState::kFailed : PartState::kAnswered;
    part.failure_reason_ =
        is_missing ? PartFailureReason::kDelegated : PartFailureReason::kNone;
  }
}

void ReturnDelegation(Query& query,
                      size_t delegation,
                      bool may_have_run,
                      Instant now) {
  Delegation& returned = query.delegations_[delegation];
  returned.state_ = DelegationState::kReturned;
  for (const size_t index : returned.subset_.parts_) {
    QueryPart& part = query.parts_[index];
    part.is_delegated_ = false;
    part.is_repeat_ = may_have_run;
    if (!may_have_run) {
      part.service_->extra_attempt_budget_.RecordRequest(now);
    }
  }
}

void FailDelegation(Query& query, size_t delegation) {
  Delegation& failed = query.delegations_[delegation];
  failed.state_ = DelegationState::kFailed;
  for (const size_t index : failed.subset_.parts_) {
    QueryPart& part = query.parts_[index];
    part.state_ = PartState::kFailed;
    part.failure_reason_ = PartFailureReason::kDelegated;
  }
}

}  // namespace clementinerill::traffic
