#include "gateway/rollout_control.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/backoff.h"
#include "base/hash.h"
#include "gateway/rollout_evidence.h"
#include "gateway/unusable_objects.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using traffic::RolloutOrder;
using traffic::RolloutState;

using std::chrono::milliseconds;

constexpr Duration kWriteTimeout = milliseconds(1500);
// All daemons decide at about the same time. They write one after the other,
// so that the others learn of the first verdict before their turn.
constexpr uint64_t kWriteTurns = 16;
constexpr Duration kWriteTurn = milliseconds(50);
// Delay after a write that was refused or lost.
constexpr BackoffPolicy kWriteBackoff{milliseconds(300), milliseconds(2000)};
// Sums of a relay arrive about twice a second.
constexpr Duration kMaxSumAge = milliseconds(2000);
// Difference from which the age of an order is corrected.
constexpr Duration kMinAgeDifference = milliseconds(100);

Duration WriteTurn(const std::string& daemon, const std::string& service) {
  return kWriteTurn * static_cast<int>(Hash64(daemon + service) % kWriteTurns);
}

std::map<std::string, Duration, std::less<>> UsualLatencies(
    const traffic::VersionComparison& sum) {
  std::map<std::string, Duration, std::less<>> usual;
  for (const auto& [route, latencies] : sum.latencies_) {
    if (const auto median = traffic::MedianLatency(latencies)) {
      usual[route] = *median;
    }
  }
  return usual;
}

// Whether replicas of the target version are in use beside others.
bool HasBothVersions(const traffic::ReplicaDirectory& directory,
                     const RolloutOrder& order) {
  bool has_target = false;
  bool has_other = false;
  for (const auto& [id, replica] : directory.replicas_) {
    if (replica.service_ == order.service_ && !replica.leaving_since_) {
      const bool is_target = replica.version_ == order.target_version_;
      has_target = has_target || is_target;
      has_other = has_other || !is_target;
    }
  }
  return has_target && has_other;
}

std::string ProcessName(const std::string& daemon) {
  const auto started = http::EventLoop::Now().time_since_epoch().count();
  return daemon + "@" + std::to_string(started);
}

std::string StateName(RolloutState state) {
  return std::string(NameOf(traffic::kRolloutStateNames, state));
}

}  // namespace

RolloutControl::RolloutControl(http::EventLoop& loop,
                               const GatewayOptions& options)
    : options_(options),
      process_(ProcessName(options.name_)),
      writer_(loop, options.store_.address_, options.store_.port_) {}

void RolloutControl::ApplyChanges(const mirror::KindChanges& changes,
                                  UnusableObjects& unusable) {
  const Instant now = http::EventLoop::Now();
  const auto& codec = options_.store_codec_;
  std::set<std::string> listed;
  const auto before = orders_;
  for (const StoredObject& object : changes.upserted_) {
    auto order = codec.decode_rollout_(object, now);
    if (!order) {
      unusable.Add(codec.kinds_.rollouts_, object.name_, order.error(), now);
      listed.insert(object.name_);
      continue;
    }
    Log(LogLevel::kInfo, "rollout", "order",
        {{"service", order->service_},
         {"target_version", order->target_version_},
         {"length_ms", order->length_},
         {"state", StateName(order->state_)}});
    listed.insert(order->service_);
    TrackedOrder taken;
    taken.order_ = *order;
    taken.revision_ = object.revision_;
    taken.era_ = changes.era_;
    const auto known = before.find(order->service_);
    if (known != before.end()) {
      ContinueOrder(known->second, taken);
      if (known->second.order_.state_ == RolloutState::kInProgress &&
          taken.order_.state_ != RolloutState::kInProgress) {
        LogDecision(taken, now);
      }
    }
    orders_[order->service_] = std::move(taken);
  }
  for (const std::string& name : changes.removed_) {
    Remove(name, false);
  }
  for (const auto& [service, known] : before) {
    if (changes.is_full_list_ && listed.count(service) == 0) {
      Remove(service, changes.era_ > known.era_);
    }
  }
}

void RolloutControl::ContinueOrder(const TrackedOrder& known,
                                   TrackedOrder& order) {
  const bool is_repeated = order.era_ > known.era_;
  if (is_repeated) {
    RolloutOrder repeated = order.order_;
    repeated.created_ = 0;
    if (IsSameOrder(known.order_, repeated)) {
      order.order_.created_ = known.order_.created_;
    }
  }
  if (!IsSameOrder(known.order_, order.order_)) {
    return;
  }
  order.order_.ordered_ = known.order_.ordered_;
  order.evidence_ = known.evidence_;
  const bool was_decided =
      known.order_.state_ != RolloutState::kInProgress && !known.is_withdrawn_;
  if (order.order_.state_ == RolloutState::kInProgress && was_decided &&
      (is_repeated || known.lost_verdict_)) {
    order.order_.state_ = known.order_.state_;
    order.lost_verdict_ = true;
  }
}

void RolloutControl::Remove(const std::string& service, bool is_new_era) {
  const auto found = orders_.find(service);
  if (found == orders_.end() || found->second.is_withdrawn_) {
    return;
  }
  Log(LogLevel::kInfo, "rollout", "order removed",
      {{"service", service}, {"lost_by_store", is_new_era}});
  if (found->second.order_.state_ == RolloutState::kCompleted) {
    orders_.erase(found);
  } else {
    found->second.is_withdrawn_ = true;
    found->second.order_.state_ = RolloutState::kRolledBack;
  }
}

void RolloutControl::ForgetWithdrawn(
    const traffic::ReplicaDirectory& directory) {
  for (auto it = orders_.begin(); it != orders_.end();) {
    it = it->second.is_withdrawn_ &&
                 !HasBothVersions(directory, it->second.order_)
             ? orders_.erase(it)
             : std::next(it);
  }
}

void RolloutControl::LogDecision(const TrackedOrder& known, Instant now) const {
  const auto own = known.evidence_.by_process_.find(process_);
  const auto seen = own == known.evidence_.by_process_.end()
                        ? traffic::VersionComparison()
                        : own->second.evidence_;
  const auto outcomes = traffic::SumOfOutcomes(seen);
  Log(LogLevel::kInfo, "rollout", "decided",
      {{"service", known.order_.service_},
       {"target_version", known.order_.target_version_},
       {"state", StateName(known.order_.state_)},
       {"age_ms", ToMilliseconds(now - known.order_.ordered_)},
       {"own_target_attempts", seen.target_attempts_},
       {"own_target_judged", outcomes.target_.judged_},
       {"own_target_bad", outcomes.target_.bad_},
       {"own_present_attempts", seen.current_attempts_},
       {"own_present_judged", outcomes.current_.judged_},
       {"own_present_bad", outcomes.current_.bad_}});
}

std::vector<RolloutOrder> RolloutControl::Orders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, known] : orders_) {
    orders.push_back(known.order_);
  }
  return orders;
}

bool RolloutControl::HasOpenOrder() const {
  return std::any_of(orders_.begin(), orders_.end(), [](const auto& entry) {
    return entry.second.order_.state_ == RolloutState::kInProgress ||
           entry.second.lost_verdict_;
  });
}

RolloutControl::TrackedOrder* RolloutControl::FindOpenOrder(
    const RolloutOrder& order) {
  const auto found = orders_.find(order.service_);
  return found != orders_.end() && IsSameOrder(found->second.order_, order) &&
                 found->second.order_.state_ == RolloutState::kInProgress
             ? &found->second
             : nullptr;
}

void RolloutControl::RecordOwn(const traffic::VersionComparison& evidence,
                               Instant now) {
  if (TrackedOrder* known = FindOpenOrder(evidence.order_)) {
    traffic::RecordEvidence(known->evidence_, process_, evidence, true, now);
  }
}

bool RolloutControl::RecordReport(
    const std::string& process,
    const std::vector<mirror::RolloutEvidence>& evidence,
    bool is_direct,
    Instant now) {
  bool is_older = false;
  for (const mirror::RolloutEvidence& entry : evidence) {
    const auto reported = FromMessage(entry, now);
    TrackedOrder* known = FindOpenOrder(reported.order_);
    if (!known) {
      continue;
    }
    traffic::RecordEvidence(known->evidence_, process, reported, is_direct,
                            now);
    if (reported.order_.ordered_ + kMinAgeDifference < known->order_.ordered_) {
      known->order_.ordered_ = reported.order_.ordered_;
      is_older = true;
    }
  }
  return is_older;
}

void RolloutControl::RecordSums(
    const std::vector<mirror::RolloutEvidence>& sums,
    Instant now) {
  for (const mirror::RolloutEvidence& entry : sums) {
    const auto sum = FromMessage(entry, now);
    if (TrackedOrder* known = FindOpenOrder(sum.order_)) {
      known->sum_ = traffic::FleetComparison::Report{sum, now, false};
    }
  }
}

std::vector<mirror::RolloutEvidence> RolloutControl::OwnEvidence(
    Instant now) const {
  std::vector<mirror::RolloutEvidence> all;
  for (const auto& [service, known] : orders_) {
    const auto own = known.evidence_.by_process_.find(process_);
    if (known.order_.state_ == RolloutState::kInProgress &&
        own != known.evidence_.by_process_.end()) {
      all.push_back(ToMessage(own->second.evidence_, now));
    }
  }
  return all;
}

std::vector<mirror::RolloutEvidence> RolloutControl::DirectEvidence(
    Instant now) const {
  std::vector<mirror::RolloutEvidence> all;
  for (const auto& [service, known] : orders_) {
    if (known.order_.state_ == RolloutState::kInProgress) {
      all.push_back(ToMessage(
          traffic::AggregateDirectEvidence(known.evidence_, known.order_),
          now));
    }
  }
  return all;
}

std::vector<mirror::RolloutEvidence> RolloutControl::Sums(Instant now) const {
  std::vector<mirror::RolloutEvidence> all;
  for (const auto& [service, known] : orders_) {
    if (known.order_.state_ == RolloutState::kInProgress) {
      all.push_back(ToMessage(SumOf(known, now), now));
    }
  }
  return all;
}

traffic::VersionComparison RolloutControl::SumOf(const TrackedOrder& known,
                                                 Instant now) const {
  auto sum = traffic::AggregateEvidence(known.evidence_, known.order_);
  if (known.sum_ && now - known.sum_->reported_ < kMaxSumAge) {
    const bool is_bad = sum.is_bad_;
    sum = known.sum_->evidence_;
    sum.is_bad_ = sum.is_bad_ || is_bad;
  }
  return sum;
}

std::vector<traffic::VersionShare> RolloutControl::Decide(const FleetRole& role,
                                                          Instant now) {
  std::vector<traffic::VersionShare> shares;
  for (auto& [service, known] : orders_) {
    if (known.lost_verdict_ && known.next_write_ == Instant()) {
      known.next_write_ = now + WriteTurn(options_.name_, service);
    }
    if (known.lost_verdict_ && role.is_judge_ && !writing_ &&
        now >= known.next_write_) {
      WriteVerdict(known, SumOf(known, now), known.order_.state_, now);
    }
    if (known.order_.state_ != RolloutState::kInProgress) {
      continue;
    }
    traffic::DropOutdatedEvidence(known.evidence_, known.order_, now);
    if (role.is_judge_) {
      known.sum_.reset();
    }
    const auto sum = SumOf(known, now);
    const auto due = role.is_judge_ || sum.is_bad_
                         ? traffic::DueDecision(sum, now)
                         : std::nullopt;
    if (due != known.due_) {
      known.due_ = due;
      known.writes_ = 0;
      known.next_write_ = now + WriteTurn(options_.name_, service);
    }
    if (due && !writing_ && now >= known.next_write_) {
      WriteVerdict(known, sum, *due, now);
    }
    shares.push_back({service, known.order_.target_version_,
                      traffic::TargetShare(sum, role.daemons_, now), now,
                      UsualLatencies(sum), TrialRequests(known, sum, now)});
  }
  return shares;
}

// Rounded up on some daemons and down on others, so that the sum of all is
// right on average also if each has less than one request.
int64_t RolloutControl::TrialRequests(const TrackedOrder& known,
                                      const traffic::VersionComparison& sum,
                                      Instant now) const {
  const auto own = known.evidence_.by_process_.find(process_);
  if (own == known.evidence_.by_process_.end()) {
    return 0;
  }
  const traffic::VersionComparison& seen = own->second.evidence_;
  constexpr uint64_t kSteps = 1024;
  const uint64_t step = Hash64(process_ + known.order_.service_) % kSteps;
  const double rounding =
      static_cast<double>(step) / static_cast<double>(kSteps);
  return static_cast<int64_t>(
      traffic::LoadTrialRequests(
          sum, seen.target_attempts_ + seen.current_attempts_, now) +
      rounding);
}

void RolloutControl::WriteVerdict(TrackedOrder& known,
                                  const traffic::VersionComparison& sum,
                                  RolloutState state,
                                  Instant now) {
  const std::string service = known.order_.service_;
  const auto trial = traffic::SumOfTrial(sum.trial_);
  const auto outcomes = traffic::SumOfOutcomes(sum);
  Log(state == RolloutState::kRolledBack ? LogLevel::kWarning : LogLevel::kInfo,
      "rollout", "verdict",
      {{"service", service},
       {"target_version", known.order_.target_version_},
       {"state", StateName(state)},
       {"reason", sum.is_bad_                         ? "worse"
                  : state == RolloutState::kCompleted ? "good"
                                                      : "too little evidence"},
       {"age_ms", ToMilliseconds(now - sum.order_.ordered_)},
       {"daemons", sum.daemons_},
       {"target_attempts", sum.target_attempts_},
       {"target_judged", outcomes.target_.judged_},
       {"target_bad", outcomes.target_.bad_},
       {"trial_judged", trial.judged_},
       {"trial_bad", trial.bad_},
       {"present_attempts", sum.current_attempts_},
       {"present_judged", outcomes.current_.judged_},
       {"present_bad", outcomes.current_.bad_}});
  writing_ = true;
  ++known.writes_;
  known.next_write_ =
      now + BackoffDelay(kWriteBackoff, known.writes_, Hash64(process_));
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
