#include "gateway/rollout_control.h"

#include <utility>

#include "gateway/unusable_objects.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using traffic::RolloutOrder;
using traffic::RolloutState;

constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);

std::string StateName(RolloutState state) {
  return std::string(NameOf(traffic::kRolloutStateNames, state));
}

}  // namespace

RolloutControl::RolloutControl(http::EventLoop& loop,
                               const GatewayOptions& options)
    : options_(options),
      writer_(loop, options.store_.address_, options.store_.port_) {}

void RolloutControl::ApplyChanges(const mirror::KindChanges& changes,
                                  UnusableObjects& unusable) {
  const Instant now = http::EventLoop::Now();
  const auto& codec = options_.store_codec_;
  const auto before = std::exchange(
      orders_,
      changes.is_full_list_ ? std::map<std::string, TrackedOrder>() : orders_);
  for (const StoredObject& object : changes.upserted_) {
    auto order = codec.decode_rollout_(object, now);
    if (!order) {
      unusable.Add(codec.kinds_.rollouts_, object.name_, order.error(), now);
      const auto kept = before.find(object.name_);
      if (kept != before.end()) {
        orders_.insert(*kept);
      }
      continue;
    }
    const auto known = before.find(order->service_);
    if (known != before.end() && IsSameOrder(known->second.order_, *order)) {
      order->ordered_ = known->second.order_.ordered_;
    }
    Log(LogLevel::kInfo, "rollout", "order",
        {{"service", order->service_},
         {"target_version", order->target_version_},
         {"length_ms", order->length_},
         {"state", StateName(order->state_)}});
    TrackedOrder& taken = orders_[order->service_];
    taken.order_ = *order;
    taken.revision_ = object.revision_;
    if (known != before.end()) {
      taken.evidence_ = known->second.evidence_;
      if (known->second.order_.state_ == RolloutState::kInProgress &&
          taken.order_.state_ != RolloutState::kInProgress) {
        LogDecision(taken, now);
      }
    }
  }
  for (const std::string& name : changes.removed_) {
    Log(LogLevel::kInfo, "rollout", "order removed", {{"service", name}});
    orders_.erase(name);
  }
}

void RolloutControl::LogDecision(const TrackedOrder& known, Instant now) const {
  const auto own = known.evidence_.by_daemon_.find(options_.name_);
  const auto seen = own == known.evidence_.by_daemon_.end()
                        ? traffic::VersionComparison()
                        : own->second;
  Log(LogLevel::kInfo, "rollout", "decided",
      {{"service", known.order_.service_},
       {"target_version", known.order_.target_version_},
       {"state", StateName(known.order_.state_)},
       {"age_ms", ToMilliseconds(now - known.order_.ordered_)},
       {"own_target_attempts", seen.target_.attempts_},
       {"own_target_bad", seen.target_.bad_},
       {"own_target_unjudged", seen.target_.unjudged_},
       {"own_present_attempts", seen.current_.attempts_},
       {"own_present_bad", seen.current_.bad_}});
}

std::vector<RolloutOrder> RolloutControl::Orders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, known] : orders_) {
    orders.push_back(known.order_);
  }
  return orders;
}

void RolloutControl::RecordEvidence(const std::string& daemon,
                                    const traffic::VersionComparison& evidence,
                                    bool may_complete,
                                    Instant now) {
  const auto found = orders_.find(evidence.order_.service_);
  if (found == orders_.end()) {
    return;
  }
  TrackedOrder& known = found->second;
  traffic::RecordEvidence(known.evidence_, daemon, evidence);
  const auto sum = traffic::AggregateEvidence(known.evidence_, known.order_);
  if (sum.is_bad_) {
    WriteVerdict(known, sum, RolloutState::kRolledBack, now);
  } else if (may_complete && traffic::MayComplete(sum, now)) {
    WriteVerdict(known, sum, RolloutState::kCompleted, now);
  }
}

std::vector<mirror::RolloutEvidence> RolloutControl::OwnEvidence() const {
  std::vector<mirror::RolloutEvidence> all;
  for (const auto& [service, known] : orders_) {
    const auto own = known.evidence_.by_daemon_.find(options_.name_);
    if (known.order_.state_ != RolloutState::kInProgress ||
        own == known.evidence_.by_daemon_.end()) {
      continue;
    }
    const traffic::VersionComparison& seen = own->second;
    all.push_back(
        {service, seen.order_.target_version_,
         std::chrono::milliseconds(ToMilliseconds(seen.order_.length_)),
         seen.target_.attempts_, seen.target_.bad_, seen.current_.attempts_,
         seen.current_.bad_});
  }
  return all;
}

void RolloutControl::WriteVerdict(const TrackedOrder& known,
                                  const traffic::VersionComparison& sum,
                                  RolloutState state,
                                  Instant now) {
  if (writing_ || known.order_.state_ != RolloutState::kInProgress) {
    return;
  }
  const std::string service = known.order_.service_;
  Log(state == RolloutState::kRolledBack ? LogLevel::kWarning : LogLevel::kInfo,
      "rollout", "verdict",
      {{"service", service},
       {"target_version", known.order_.target_version_},
       {"state", StateName(state)},
       {"age_ms", ToMilliseconds(now - known.order_.ordered_)},
       {"daemons", known.evidence_.by_daemon_.size()},
       {"target_attempts", sum.target_.attempts_},
       {"target_bad", sum.target_.bad_},
       {"target_unjudged", sum.target_.unjudged_},
       {"present_attempts", sum.current_.attempts_},
       {"present_bad", sum.current_.bad_},
       {"present_unjudged", sum.current_.unjudged_}});
  writing_ = true;
  http::ClientRequest request;
  request.method_ = "PUT";
  request.target_ = options_.store_codec_.rollout_status_target_(service);
  request.body_ = options_.store_codec_.encode_rollout_status_(
      known.order_, state, known.revision_);
  request.timeout_ = kWriteTimeout;
  writer_.Call(std::move(request),
               [this, service, state](const http::ClientResponse& response) {
                 writing_ = false;
                 // 409: another daemon has written a verdict first, which
                 // arrives as a change.
                 Log(LogLevel::kInfo, "rollout", "verdict written",
                     {{"service", service},
                      {"state", StateName(state)},
                      {"status", response.status_}});
               });
}

}  // namespace clementinerill::gateway
