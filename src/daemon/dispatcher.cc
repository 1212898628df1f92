#include "daemon/dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/invariant.h"
#include "daemon/operator_log.h"
#include "daemon/upstream_slots.h"
#include "daemon/warmup_role.h"
#include "routing/choose_candidate.h"
#include "routing/pool_seats.h"

namespace clementinerill {
namespace {

// The hedge delay is the 99th percentile plus a margin: with the 95th, one part
// in twenty would be hedged in normal operation, and without the margin the
// estimation noise from 128 samples alone hedges 3% of the parts.
constexpr double kHedgeQuantile = 0.99;
constexpr int kHedgeMarginPercent = 120;
constexpr double kExpectedQuantile = 0.5;
constexpr auto kMinHedgeDelay = std::chrono::milliseconds(2);
// Connections beyond the slots, for cancellations.
constexpr int kSpareConnections = 1;
// One in this many first attempts of a service prefers a cold replica. Without
// it, a slow replica with a low limit is only used when its siblings are full,
// and never completes the requests that its ramp needs to end.
constexpr uint64_t kColdAttemptInterval = 10;
// Limit on marks of upstreams that no table has declared yet; above the planned
// 5,900 replicas.
constexpr size_t kMaxPendingMarks = 10'000;

const RoutingPool* FindRoutingPool(const RoutingTable& table,
                                   const std::string& name) {
  const auto found = table.pools_.find(name);
  return found == table.pools_.end() ? nullptr : &found->second;
}

// Keeps the mark that takes precedence, as in the merge of advisories.
void MergePendingMark(std::map<std::string, ColdMark>& pending,
                      const ColdMark& mark) {
  const auto [found, added] = pending.emplace(mark.upstream_, mark);
  ColdMark& kept = found->second;
  const bool wins = mark.generation_ > kept.generation_ ||
                    (mark.generation_ == kept.generation_ && mark.active_);
  if (wins) {
    kept = mark;
  }
  if (pending.size() > kMaxPendingMarks) {
    pending.erase(pending.begin());
  }
}

bool WasTried(const DispatchRequest& request, const std::string& upstream) {
  return std::find(request.tried_.begin(), request.tried_.end(), upstream) !=
         request.tried_.end();
}

UpstreamCandidate MakeUpstreamCandidate(const DispatchRequest& request,
                                        const UpstreamState& state,
                                        Duration typical_latency,
                                        Instant now) {
  UpstreamCandidate candidate;
  candidate.open_ =
      state.open_ && Matches(request.route_.selector_, state.labels_);
  candidate.tried_ = WasTried(request, state.upstream_.name_);
  candidate.limit_ = SlotLimitOf(state, now);
  candidate.in_use_ = static_cast<int>(state.tokens_.size());
  candidate.skip_until_ = state.health_.skip_until_;
  candidate.expected_latency_ =
      ExpectedLatency(state.health_, typical_latency, now);
  candidate.offers_ = state.offers_;
  return candidate;
}

UpstreamStatus StatusOf(const UpstreamState& state, int slots, Instant now) {
  UpstreamStatus status;
  status.name_ = state.upstream_.name_;
  status.service_ = state.service_;
  status.pool_ = state.pool_name_;
  status.open_ = state.open_;
  status.in_use_ = static_cast<int>(state.tokens_.size());
  status.slots_ = slots;
  status.connections_ = state.pool_.CountOpen();
  status.latency_ = state.health_.latency_;
  status.failures_ = state.health_.failures_;
  status.skipped_for_ =
      std::max(Duration(0), Duration(state.health_.skip_until_ - now));
  if (state.warmup_.phase_ != WarmupPhase::kWarm) {
    status.cold_limit_ = SlotLimitOf(state, now);
  }
  status.offers_ = state.offers_;
  return status;
}

// Records the snapshots and the identity of the process behind an upstream.
void RecordProcess(UpstreamState& state, const UpstreamSignals& signals) {
  if (signals.offers_) {
    state.offers_ = signals.offers_;
  }
  if (signals.process_id_.empty() || signals.process_id_ == state.process_id_) {
    return;
  }
  if (!state.process_id_.empty()) {
    LogProcessChanged(state.upstream_.name_, signals.process_id_);
  }
  state.process_id_ = signals.process_id_;
}

const RoutingService* FindService(const RoutingPool& pool,
                                  const std::string& name) {
  const auto found = std::find_if(
      pool.services_.begin(), pool.services_.end(),
      [&name](const RoutingService& s) { return s.name_ == name; });
  return found == pool.services_.end() ? nullptr : &*found;
}

}  // namespace

void Dispatcher::Apply(std::shared_ptr<const RoutingTable> table, Instant now) {
  const std::shared_ptr<const RoutingTable> previous = Table();
  // A change of advisories gives a new table with the same configuration.
  if (!previous ||
      previous->configuration_version_ != table->configuration_version_) {
    LogConfigurationInForce(*table);
  }
  const std::lock_guard lock(mutex_);
  std::set<std::string> kept;
  for (const auto& [name, pool] : table->pools_) {
    ApplyPool(*table, pool, now);
    for (const RoutingService& service : pool.services_) {
      for (const RoutingTarget& target : service.targets_) {
        kept.insert(target.upstream_.name_);
      }
    }
  }
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    it = kept.count(it->first) == 0 ? upstreams_.erase(it) : std::next(it);
  }
  table_ = std::move(table);
}

std::shared_ptr<UpstreamState> Dispatcher::StateFor(const RoutingTarget& target,
                                                    bool is_new_pool,
                                                    Instant now) {
  auto& state = upstreams_[target.upstream_.name_];
  const bool moved =
      state && (state->upstream_.address_ != target.upstream_.address_ ||
                state->upstream_.port_ != target.upstream_.port_);
  if (state && !moved) {
    return state;
  }
  const uint64_t generation = state ? state->warmup_.generation_ : 0;
  state = std::make_shared<UpstreamState>(target.upstream_);
  // In a pool that is new to this daemon, other daemons may have warmed the
  // replica up already; a response or an advisory shows if they
  // have not.
  if (!is_new_pool) {
    state->warmup_ = MakeColdReplica(ColdReason::kNew, now);
  }
  state->warmup_.generation_ = generation;
  return state;
}

void Dispatcher::ApplyPool(const RoutingTable& table,
                           const RoutingPool& pool,
                           Instant now) {
  const bool is_new_pool =
      !table_ || FindRoutingPool(*table_, pool.pool_.name_) == nullptr;
  std::set<std::string> reopened;
  for (const RoutingService& service : pool.services_) {
    for (const RoutingTarget& target : service.targets_) {
      const bool is_known = upstreams_.count(target.upstream_.name_) > 0;
      const auto state = StateFor(target, is_new_pool, now);
      if (is_known && target.open_ && !state->open_) {
        reopened.insert(target.upstream_.name_);
      }
      state->service_ = service.name_;
      ApplyTarget(WarmupLimitsOf(table, pool), pool, target, *state, now);
    }
  }
  RampReturnedDomains(pool, reopened, now);
  for (const RoutingService& service : pool.services_) {
    UpdateColdAdmission(service);
  }
}

void Dispatcher::ApplyTarget(const WarmupLimits& limits,
                             const RoutingPool& pool,
                             const RoutingTarget& target,
                             UpstreamState& state,
                             Instant now) {
  state.open_ = target.open_;
  state.labels_ = target.upstream_.labels_;
  state.pool_name_ = pool.pool_.name_;
  state.warmup_limits_ = limits;
  auto& domain =
      domains_[pool.pool_.name_ + "/" + target.upstream_.failure_domain_];
  if (!domain) {
    domain = std::make_shared<DomainRamp>();
  }
  state.domain_ = domain;
  const auto pending = pending_marks_.find(target.upstream_.name_);
  if (pending != pending_marks_.end()) {
    ApplyColdAdvisory(state.warmup_, limits, pending->second.generation_,
                      pending->second.active_, now);
    pending_marks_.erase(pending);
  }
}

void Dispatcher::RampReturnedDomains(const RoutingPool& pool,
                                     const std::set<std::string>& reopened,
                                     Instant now) {
  std::map<std::shared_ptr<DomainRamp>, int> returned_slots;
  std::set<std::shared_ptr<DomainRamp>> in_use;
  for (const RoutingService& service : pool.services_) {
    for (const RoutingTarget& target : service.targets_) {
      UpstreamState& state = *upstreams_.at(target.upstream_.name_);
      if (reopened.count(target.upstream_.name_) > 0) {
        const uint64_t before = state.warmup_.generation_;
        state.admitted_ = false;
        MarkCold(state.warmup_, state.warmup_limits_,
                 ColdReason::kDomainReturned, now);
        RecordWarmupChange(state, before);
        returned_slots[state.domain_] +=
            UsableSlots(SeatsOfLocked(pool.pool_.name_), pool.pool_,
                        target.upstream_.name_, now);
      } else if (target.open_) {
        in_use.insert(state.domain_);
      }
    }
  }
  // A single upstream that returns to a domain in service must not limit the
  // others.
  for (const auto& [domain, slots] : returned_slots) {
    if (in_use.count(domain) == 0) {
      StartDomainRamp(*domain, slots);
    }
  }
}

void Dispatcher::UpdateColdAdmission(const RoutingService& service) {
  std::vector<WarmupCandidate> candidates;
  for (const RoutingTarget& target : service.targets_) {
    const UpstreamState& state = *upstreams_.at(target.upstream_.name_);
    WarmupCandidate candidate;
    candidate.replica_ = target.upstream_.name_;
    candidate.in_service_ = state.open_;
    candidate.cold_ = state.warmup_.phase_ != WarmupPhase::kWarm;
    candidate.admitted_ = state.admitted_;
    candidate.operator_initiated_ =
        state.warmup_.reason_ == ColdReason::kDomainReturned;
    candidates.push_back(std::move(candidate));
  }
  const auto admitted = AdmitColdReplicas(candidates);
  for (const RoutingTarget& target : service.targets_) {
    const std::string& name = target.upstream_.name_;
    upstreams_.at(name)->admitted_ =
        std::find(admitted.begin(), admitted.end(), name) != admitted.end();
  }
}

const RoutingService* Dispatcher::ServiceOf(const UpstreamState& state) const {
  const auto found = upstreams_.find(state.upstream_.name_);
  if (!table_ || found == upstreams_.end() || found->second.get() != &state) {
    return nullptr;
  }
  const RoutingPool* pool = FindRoutingPool(*table_, state.pool_name_);
  return pool == nullptr ? nullptr : FindService(*pool, state.service_);
}

std::vector<const LatencyTracker*> Dispatcher::SiblingsOf(
    const UpstreamState& state) const {
  std::vector<const LatencyTracker*> siblings;
  const RoutingService* service = ServiceOf(state);
  if (service == nullptr) {
    return siblings;
  }
  for (const RoutingTarget& target : service->targets_) {
    const UpstreamState& sibling = *upstreams_.at(target.upstream_.name_);
    if (&sibling != &state && sibling.open_ &&
        sibling.warmup_.phase_ == WarmupPhase::kWarm) {
      siblings.push_back(&sibling.warmup_.latency_);
    }
  }
  return siblings;
}

void Dispatcher::RecordWarmupChange(UpstreamState& state,
                                    uint64_t generation_before) {
  if (state.warmup_.generation_ == generation_before) {
    return;
  }
  changed_marks_.insert(state.upstream_.name_);
  if (const RoutingService* service = ServiceOf(state)) {
    UpdateColdAdmission(*service);
  }
}

std::vector<ColdMark> Dispatcher::TakeColdMarks() {
  const std::lock_guard lock(mutex_);
  std::vector<ColdMark> marks;
  for (const std::string& name : changed_marks_) {
    const auto found = upstreams_.find(name);
    if (found != upstreams_.end()) {
      const ReplicaWarmup& warmup = found->second->warmup_;
      marks.push_back(
          {name, warmup.generation_, warmup.phase_ != WarmupPhase::kWarm});
    }
  }
  changed_marks_.clear();
  return marks;
}

void Dispatcher::ApplyColdMark(const ColdMark& mark, Instant now) {
  const std::lock_guard lock(mutex_);
  const auto found = upstreams_.find(mark.upstream_);
  if (found == upstreams_.end()) {
    MergePendingMark(pending_marks_, mark);
    return;
  }
  UpstreamState& state = *found->second;
  const bool changed = ApplyColdAdvisory(state.warmup_, state.warmup_limits_,
                                         mark.generation_, mark.active_, now);
  if (!changed) {
    return;
  }
  changed_marks_.erase(mark.upstream_);
  if (const RoutingService* service = ServiceOf(state)) {
    UpdateColdAdmission(*service);
  }
}

void Dispatcher::SetSeats(std::shared_ptr<const PublishedSeats> seats) {
  const std::lock_guard lock(mutex_);
  seats_ = std::move(seats);
}

void Dispatcher::UpdateConnections(Instant now) {
  if (!table_) {
    return;
  }
  for (const auto& [name, pool] : table_->pools_) {
    const PoolSeats& seats = SeatsOfLocked(name);
    for (const RoutingService& service : pool.services_) {
      for (const RoutingTarget& target : service.targets_) {
        const std::string& upstream = target.upstream_.name_;
        const SeatConnections plan =
            PlanConnections(seats, pool.pool_, upstream, now);
        ConnectionPolicy policy;
        policy.max_connections_ = plan.share_;
        policy.min_idle_ =
            plan.slots_ > 0 && target.open_
                ? std::min(plan.share_, plan.slots_ + kSpareConnections)
                : 0;
        upstreams_.at(upstream)->pool_.SetPolicy(policy);
      }
    }
  }
}

PoolSeats Dispatcher::SeatsOf(const std::string& pool) const {
  const std::lock_guard lock(mutex_);
  return SeatsOfLocked(pool);
}

const PoolSeats& Dispatcher::SeatsOfLocked(const std::string& pool) const {
  static const PoolSeats none;
  const auto found = seats_->pools_.find(pool);
  return found == seats_->pools_.end() ? none : found->second;
}

int Dispatcher::SweepCapacity(const std::string& pool, Instant now) const {
  const std::lock_guard lock(mutex_);
  const RoutingPool* routed = table_ ? FindRoutingPool(*table_, pool) : nullptr;
  if (routed == nullptr || routed->services_.empty()) {
    return 0;
  }
  const PoolSeats& seats = SeatsOfLocked(pool);
  int min_slots = std::numeric_limits<int>::max();
  for (const RoutingService& service : routed->services_) {
    int slots = 0;
    for (const RoutingTarget& target : service.targets_) {
      slots += target.open_ ? UsableSlots(seats, routed->pool_,
                                          target.upstream_.name_, now)
                            : 0;
    }
    min_slots = std::min(min_slots, slots);
  }
  return min_slots;
}

std::shared_ptr<const RoutingTable> Dispatcher::Table() const {
  const std::lock_guard lock(mutex_);
  return table_;
}

tl::expected<DispatchGrant, Reason> Dispatcher::Grant(
    const DispatchRequest& request,
    Instant now) {
  const std::lock_guard lock(mutex_);
  const RoutingPool* pool = FindRoutingPool(*table_, request.route_.pool_);
  const RoutingService* service =
      pool == nullptr ? nullptr : FindService(*pool, request.service_);
  if (service == nullptr) {
    return tl::make_unexpected(Reason::kNoUpstream);
  }
  const PoolSeats& seats = SeatsOfLocked(request.route_.pool_);
  const Instant fence = EarliestEnd(seats, now);
  if (fence == Instant::max()) {
    return tl::make_unexpected(Reason::kNoSeat);
  }
  const Duration typical_latency =
      policies_[request.route_.pool_].expected_latency_;
  const bool prefers_cold = IsColdAttemptDue(request);
  std::vector<UpstreamCandidate> candidates;
  std::vector<std::shared_ptr<UpstreamState>> states;
  for (const RoutingTarget& target : service->targets_) {
    const auto& state = upstreams_.at(target.upstream_.name_);
    UpdateSeatState(*pool, seats, *state, now);
    candidates.push_back(
        MakeUpstreamCandidate(request, *state, typical_latency, now));
    if (prefers_cold && state->warmup_.phase_ != WarmupPhase::kWarm) {
      candidates.back().expected_latency_ = Duration(0);
    }
    states.push_back(state);
  }
  const auto chosen = ChooseCandidate(candidates, request.snapshot_, now);
  if (!chosen) {
    return tl::make_unexpected(chosen.error());
  }
  UpstreamState& state = *states[*chosen];
  const uint64_t token = ++last_token_;
  TakeSlot(state, token, now);
  CR_INVARIANT(static_cast<int>(state.tokens_.size()) <=
               state.warmup_limits_.slots_);
  return DispatchGrant{states[*chosen], token, fence};
}

void Dispatcher::UpdateSeatState(const RoutingPool& pool,
                                 const PoolSeats& seats,
                                 UpstreamState& state,
                                 Instant now) {
  const std::string& replica = state.upstream_.name_;
  state.warmup_limits_.seat_slots_ =
      UsableSlots(seats, pool.pool_, replica, now);
  const SeatRole role = SeatRoleAt(pool.pool_, seats, replica, now);
  // When the role is set for the first time, the delay before the seat becomes
  // usable already covers requests of the previous holder.
  if (state.seat_role_known_ && role != state.seat_role_ &&
      role == SeatRole::kWarmup) {
    TakeOverWarmupSeat(state.warmup_, state.warmup_limits_, now);
  }
  state.seat_role_known_ = true;
  state.seat_role_ = role;
}

bool Dispatcher::IsColdAttemptDue(const DispatchRequest& request) {
  return request.tried_.empty() &&
         ++first_attempts_[request.service_] % kColdAttemptInterval == 0;
}

void Dispatcher::AddWaiter(const std::string& service,
                           const std::shared_ptr<Mailbox>& waiter) {
  const std::lock_guard lock(mutex_);
  waiters_[service].push_back(waiter);
}

void Dispatcher::Release(const DispatchGrant& grant, Instant now) {
  const std::lock_guard lock(mutex_);
  FreeSlotLocked(grant, ResponseSignals{}, now);
}

void Dispatcher::FreeSlotLocked(const DispatchGrant& grant,
                                const ResponseSignals& signals,
                                Instant now) {
  UpstreamState& state = *grant.upstream_;
  const uint64_t before = state.warmup_.generation_;
  const auto siblings = SiblingsOf(state);
  if (!FreeSlot(state, grant.token_, signals, siblings, now)) {
    return;
  }
  RecordWarmupChange(state, before);
  WakeWaiter(state.service_);
}

void Dispatcher::WakeWaiter(const std::string& service) {
  auto& queue = waiters_[service];
  while (!queue.empty()) {
    const std::shared_ptr<Mailbox> waiter = queue.front().lock();
    queue.pop_front();
    if (waiter) {
      waiter->Wake();
      return;
    }
  }
}

void Dispatcher::Observe(const DispatchGrant& grant,
                         const ExchangeResult& result,
                         Duration elapsed,
                         Instant now) {
  const std::lock_guard lock(mutex_);
  UpstreamState& state = *grant.upstream_;
  if (result.signals_) {
    RecordProcess(state, *result.signals_);
    FreeSlotLocked(grant, WarmupSignalsOf(result, elapsed), now);
  }
  switch (result.result_) {
    case AttemptResult::kAnswered:
      AddSample(state.latencies_, elapsed);
      RecordLatency(state.health_, elapsed, now);
      RecordSuccess(state.health_);
      break;
    case AttemptResult::kCancelled:
      // The attempt would have taken at least this long.
      if (elapsed > state.health_.latency_) {
        RecordLatency(state.health_, elapsed, now);
      }
      break;
    case AttemptResult::kRunning:
    case AttemptResult::kSnapshotGone:
      break;
    default:
      if (!result.connection_silent_) {
        RecordFailure(state.health_, now);
      }
      break;
  }
}

void Dispatcher::ObserveSignals(UpstreamState& upstream,
                                const UpstreamSignals& signals,
                                Instant now) {
  const std::lock_guard lock(mutex_);
  RecordProcess(upstream, signals);
  const uint64_t before = upstream.warmup_.generation_;
  ObserveProbe(upstream.warmup_, upstream.warmup_limits_, signals.process_id_,
               signals.cold_limit_, now);
  RecordWarmupChange(upstream, before);
}

std::optional<Snapshot> Dispatcher::NewestSnapshot(const Route& route) {
  const std::lock_guard lock(mutex_);
  const RoutingPool* pool = FindRoutingPool(*table_, route.pool_);
  if (pool == nullptr) {
    return std::nullopt;
  }
  std::vector<std::vector<Snapshot>> offers;
  for (const RoutingService& service : pool->services_) {
    std::vector<Snapshot> offered;
    for (const RoutingTarget& target : service.targets_) {
      const UpstreamState& state = *upstreams_.at(target.upstream_.name_);
      const bool usable = state.open_ && state.offers_ &&
                          Matches(route.selector_, state.labels_);
      if (usable) {
        offered.insert(offered.end(), state.offers_->begin(),
                       state.offers_->end());
      }
    }
    // A service without any upstream in service is a gap in the coverage and
    // must not prevent a response from the others.
    if (!offered.empty()) {
      offers.push_back(std::move(offered));
    }
  }
  return NewestCommonSnapshot(offers);
}

QueryPolicy Dispatcher::PolicyFor(const std::string& pool) {
  const std::lock_guard lock(mutex_);
  return policies_[pool];
}

void Dispatcher::Maintain(Instant now) {
  const std::lock_guard lock(mutex_);
  UpdatePolicies();
  UpdateConnections(now);
}

void Dispatcher::UpdatePolicies() {
  std::map<std::string, std::vector<const LatencyWindow*>> windows;
  for (const auto& [name, state] : upstreams_) {
    windows[state->pool_name_].push_back(&state->latencies_);
  }
  for (const auto& [pool, pool_windows] : windows) {
    QueryPolicy policy;
    const Duration hedge = TypicalQuantile(pool_windows, kHedgeQuantile);
    const Duration expected = TypicalQuantile(pool_windows, kExpectedQuantile);
    if (hedge > Duration(0)) {
      policy.hedge_delay_ =
          std::max<Duration>(hedge * kHedgeMarginPercent / 100, kMinHedgeDelay);
      policy.expected_latency_ = expected;
    }
    policies_[pool] = policy;
  }
}

std::vector<std::shared_ptr<UpstreamState>> Dispatcher::Upstreams() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<UpstreamState>> states;
  states.reserve(upstreams_.size());
  for (const auto& [name, state] : upstreams_) {
    states.push_back(state);
  }
  return states;
}

std::vector<UpstreamStatus> Dispatcher::Status(Instant now) const {
  const std::lock_guard lock(mutex_);
  std::vector<UpstreamStatus> statuses;
  statuses.reserve(upstreams_.size());
  for (const auto& [name, state] : upstreams_) {
    const RoutingPool* pool = FindRoutingPool(*table_, state->pool_name_);
    const int slots = pool == nullptr
                          ? 0
                          : UsableSlots(SeatsOfLocked(state->pool_name_),
                                        pool->pool_, name, now);
    statuses.push_back(StatusOf(*state, slots, now));
  }
  return statuses;
}

}  // namespace clementinerill
