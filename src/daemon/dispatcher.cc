#include "daemon/dispatcher.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "base/invariant.h"
#include "daemon/operator_log.h"
#include "routing/choose_candidate.h"

namespace clementinerill {
namespace {

// Hedges follow the 99th percentile with a margin: with the 95th, one part in
// twenty would be hedged in calm operation, and without the margin the noise
// of the estimate from 128 samples alone hedges 3% of the parts.
constexpr double kHedgeQuantile = 0.99;
constexpr int kHedgeMarginPercent = 120;
constexpr double kExpectedQuantile = 0.5;
constexpr auto kShortestHedgeDelay = std::chrono::milliseconds(2);
// Connections beyond the slots, for cancellations.
constexpr int kSpareConnections = 1;

const RoutingPool* FindRoutingPool(const RoutingTable& table,
                                   const std::string& name) {
  const auto found = table.pools_.find(name);
  return found == table.pools_.end() ? nullptr : &found->second;
}

int LimitOf(const UpstreamState& state, int slots) noexcept {
  return state.cold_limit_ ? std::min(slots, *state.cold_limit_) : slots;
}

bool WasTried(const DispatchRequest& request, const std::string& upstream) {
  return std::find(request.tried_.begin(), request.tried_.end(), upstream) !=
         request.tried_.end();
}

UpstreamCandidate MakeUpstreamCandidate(const DispatchRequest& request,
                                        const UpstreamState& state,
                                        int slots,
                                        Duration typical,
                                        Instant now) {
  UpstreamCandidate candidate;
  candidate.open_ =
      state.open_ && Matches(request.route_.selector_, state.upstream_.labels_);
  candidate.tried_ = WasTried(request, state.upstream_.name_);
  candidate.limit_ = LimitOf(state, slots);
  candidate.in_use_ = static_cast<int>(state.tokens_.size());
  candidate.skip_until_ = state.health_.skip_until_;
  candidate.expected_latency_ = ExpectedLatency(state.health_, typical, now);
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
  status.cold_limit_ = state.cold_limit_;
  status.offers_ = state.offers_;
  return status;
}

const RoutingService* FindService(const RoutingPool& pool,
                                  const std::string& name) {
  const auto found = std::find_if(
      pool.services_.begin(), pool.services_.end(),
      [&name](const RoutingService& s) { return s.name_ == name; });
  return found == pool.services_.end() ? nullptr : &*found;
}

}  // namespace

void Dispatcher::Apply(std::shared_ptr<const RoutingTable> table) {
  const std::shared_ptr<const RoutingTable> previous = Table();
  // A change of seats gives a new table with the same configuration.
  if (!previous ||
      previous->configuration_version_ != table->configuration_version_) {
    LogConfigurationInForce(*table);
  }
  const std::lock_guard lock(mutex_);
  std::set<std::string> kept;
  for (const auto& [name, pool] : table->pools_) {
    ApplyPool(pool);
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

void Dispatcher::ApplyPool(const RoutingPool& pool) {
  for (const RoutingService& service : pool.services_) {
    for (const RoutingTarget& target : service.targets_) {
      auto& state = upstreams_[target.upstream_.name_];
      const bool moved =
          state && (state->upstream_.address_ != target.upstream_.address_ ||
                    state->upstream_.port_ != target.upstream_.port_);
      if (!state || moved) {
        state = std::make_shared<UpstreamState>(target.upstream_);
      }
      // A change of labels must keep the slots in use.
      state->upstream_.labels_ = target.upstream_.labels_;
      state->upstream_.failure_domain_ = target.upstream_.failure_domain_;
      state->upstream_.version_ = target.upstream_.version_;
      state->open_ = target.open_;
      state->service_ = service.name_;
      state->pool_name_ = pool.pool_.name_;
    }
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
        policy.share_ = plan.share_;
        policy.ready_ =
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
  int fewest = std::numeric_limits<int>::max();
  for (const RoutingService& service : routed->services_) {
    int slots = 0;
    for (const RoutingTarget& target : service.targets_) {
      slots += target.open_ ? UsableSlots(seats, routed->pool_,
                                          target.upstream_.name_, now)
                            : 0;
    }
    fewest = std::min(fewest, slots);
  }
  return fewest;
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
  const Duration typical = policies_[request.route_.pool_].expected_answer_;
  std::vector<UpstreamCandidate> candidates;
  std::vector<std::shared_ptr<UpstreamState>> states;
  for (const RoutingTarget& target : service->targets_) {
    const auto& state = upstreams_.at(target.upstream_.name_);
    const int slots =
        UsableSlots(seats, pool->pool_, target.upstream_.name_, now);
    candidates.push_back(
        MakeUpstreamCandidate(request, *state, slots, typical, now));
    states.push_back(state);
  }
  const auto chosen = ChooseCandidate(candidates, request.snapshot_, now);
  if (!chosen) {
    return tl::make_unexpected(chosen.error());
  }
  UpstreamState& state = *states[*chosen];
  const uint64_t token = ++last_token_;
  state.tokens_.insert(token);
  CR_INVARIANT(static_cast<int>(state.tokens_.size()) <=
               candidates[*chosen].limit_);
  return DispatchGrant{states[*chosen], token, fence};
}

void Dispatcher::AddWaiter(const std::string& service,
                           const std::shared_ptr<Mailbox>& waiter) {
  const std::lock_guard lock(mutex_);
  waiters_[service].push_back(waiter);
}

void Dispatcher::Release(const DispatchGrant& grant) {
  const std::lock_guard lock(mutex_);
  ReleaseLocked(*grant.upstream_, grant.token_);
}

void Dispatcher::ReleaseLocked(UpstreamState& upstream, uint64_t token) {
  if (upstream.tokens_.erase(token) > 0) {
    WakeWaiter(upstream.service_);
  }
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
                                const UpstreamSignals& signals) {
  std::unique_lock lock(mutex_);
  if (signals.offers_) {
    upstream.offers_ = signals.offers_;
  }
  const bool process_changed = !upstream.process_id_.empty() &&
                               upstream.process_id_ != signals.process_id_;
  upstream.process_id_ = signals.process_id_;
  upstream.cold_limit_ = signals.cold_limit_;
  lock.unlock();
  if (process_changed) {
    LogProcessChanged(upstream.upstream_.name_, signals.process_id_);
  }
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
                          Matches(route.selector_, state.upstream_.labels_);
      if (usable) {
        offered.insert(offered.end(), state.offers_->begin(),
                       state.offers_->end());
      }
    }
    // A service without any upstream in service is a gap in the coverage and
    // must not prevent an answer from the others.
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
      policy.hedge_delay_ = std::max<Duration>(
          hedge * kHedgeMarginPercent / 100, kShortestHedgeDelay);
      policy.expected_answer_ = expected;
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
