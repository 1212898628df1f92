#include "gateway/store_follower.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gateway/watch_wait.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Share of the maximum propagation delay: the maximum age of a relay's copy.
constexpr double kMaxAgeShare = 0.5;
// Shares for which no relay may be up to date before this daemon follows the
// store itself. The standby takes over first; readers wait until it has read
// its copy, so that the loss of a watcher does not send all of them to the
// store.
constexpr double kStandbyFailoverShare = 0.1;
constexpr double kReaderFailoverShare = 0.25;
// A relay answers at the end of the long-poll time at the latest; the margin
// allows for a busy CPU.
constexpr Duration kRelayTimeoutMargin = milliseconds(800);
// Delay after all relays have failed.
constexpr Duration kRelayRetryDelay = milliseconds(700);
// The same while this daemon does not follow the store yet.
constexpr Duration kFastRelayRetryDelay = milliseconds(100);
// Replica changes arrive in bursts when many replicas start or leave.
constexpr Duration kReplicaBatchDelay = milliseconds(400);
// Daemons register in bursts when a fleet starts; their number is not urgent.
constexpr Duration kDaemonBatchDelay = milliseconds(1000);
// Period of the checks of reader connections and of the store probe.
constexpr Duration kTickPeriod = milliseconds(300);
// The store counts as available if the watch of the configuration, which probes
// it, was answered this recently.
constexpr Duration kMaxProbeAge = milliseconds(2500);
// In fleets smaller than this every daemon follows the store: relaying needs
// shorter long polls, which cost more requests than it saves.
constexpr size_t kMinDaemonsForRelays = 16;
// Bounds of objects other than the configuration, whose entries take a few
// hundred bytes. The copy holds all of them, on VMs of 160 MB.
constexpr JsonBounds kEntryBounds{64 * 1024, 32};

milliseconds ShareOf(Duration bound, double share) {
  return std::chrono::duration_cast<milliseconds>(bound * share);
}

}  // namespace

StoreFollower::StoreFollower(http::EventLoop& loop,
                             const GatewayOptions& options,
                             GatewayMetrics& metrics,
                             OnChanges on_changes)
    : loop_(loop),
      options_(options),
      metrics_(metrics),
      on_changes_(std::move(on_changes)),
      proof_(kinds_[options.store_codec_.kinds_.configuration_].mirror_,
             metrics),
      relay_server_(loop, kinds_, evidence_) {
  const StoreKinds& kinds = options.store_codec_.kinds_;
  AddKind(kinds.configuration_, {}, true);
  AddKind(kinds.replicas_, kReplicaBatchDelay, true);
  AddKind(kinds.evacuations_, {}, true);
  AddKind(kinds.rollouts_, {}, true);
  AddKind(kinds.daemons_, kDaemonBatchDelay, false);
}

void StoreFollower::AddKind(const std::string& kind,
                            Duration batch_delay,
                            bool must_be_fresh) {
  FollowedKind& followed = kinds_[kind];
  followed.must_be_fresh_ = must_be_fresh;
  const bool is_configuration =
      kind == options_.store_codec_.kinds_.configuration_;
  followed.watch_ = std::make_unique<KindWatch>(
      loop_, options_.store_, options_.store_codec_, metrics_,
      WatchOptions{
          kind,
          WatchWait(options_.max_propagation_delay_, must_be_fresh, false),
          batch_delay, is_configuration ? JsonBounds{} : kEntryBounds,
          is_configuration
              ? [this](mirror::ProofOutcome o) { proof_.RecordOutcome(o); }
              : std::function<void(mirror::ProofOutcome)>()},
      followed.mirror_,
      [this, kind](const mirror::KindChanges& changes) {
        OnKindChanged(kind, changes);
      },
      [this](int64_t era) {
        for (auto& [other, known] : kinds_) {
          known.watch_->EnterEra(era);
        }
      });
}

void StoreFollower::Start() {
  relay_server_.Listen(options_);
  for (const Endpoint& seed : options_.seeds_) {
    if (!options_.relay_listen_ || !(seed == *options_.relay_listen_)) {
      plan_.relays_.push_back({"seed", "", seed.address_, seed.port_});
    }
  }
  PollRelay();
  Tick();
  loop_.Timers().AddPeriodic(kTickPeriod, [this] { Tick(); });
}

void StoreFollower::WatchDaemons() {
  kinds_[options_.store_codec_.kinds_.daemons_].watch_->SetActive(true);
}

void StoreFollower::SetDaemons(
    const std::vector<mirror::DaemonRecord>& daemons) {
  mirror::RelayPlan plan = mirror::PlanRelays(daemons, options_.name_);
  if (daemons.size() < kMinDaemonsForRelays) {
    plan.role_ = mirror::RelayRole::kWatcher;
  }
  if (plan.role_ != plan_.role_) {
    Log(LogLevel::kInfo, "relay", "role changed",
        {{"role", NameOf(mirror::kRelayRoleNames, plan.role_)},
         {"daemons", daemons.size()},
         {"relays", plan.relays_.size()}});
  }
  plan_ = std::move(plan);
  daemons_ = daemons;
  UpdateWaits();
  if (!knows_daemons_) {
    knows_daemons_ = true;
    last_fresh_ = http::EventLoop::Now();
  }
  if (IsWatcher()) {
    SetFollowsStore(true, "watcher");
  } else {
    PollRelay();
  }
}

void StoreFollower::UpdateWaits() {
  const bool relays = daemons_.size() >= kMinDaemonsForRelays;
  const Duration delay = options_.max_propagation_delay_;
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->SetWait(
        kind == options_.store_codec_.kinds_.configuration_
            ? ConfigurationWatchWait(delay, proof_.MaxAge(), relays)
            : WatchWait(delay, followed.must_be_fresh_, relays));
  }
}

void StoreFollower::SetMaxProofAge(std::optional<Duration> max_age) {
  if (max_age == proof_.MaxAge()) {
    return;
  }
  proof_.SetMaxAge(max_age);
  relay_server_.SetSendsProof(max_age.has_value());
  kinds_[options_.store_codec_.kinds_.configuration_].watch_->SetRenewalAge(
      max_age ? std::optional(ProofRenewalAge(*max_age)) : std::nullopt);
  UpdateWaits();
}

std::vector<mirror::DaemonRecord> StoreFollower::OtherWatchers() const {
  std::vector<mirror::DaemonRecord> watchers;
  if (daemons_.size() < kMinDaemonsForRelays) {
    watchers = daemons_;
  } else {
    std::set<std::string> domains;
    for (const mirror::DaemonRecord& daemon : daemons_) {
      domains.insert(daemon.failure_domain_);
    }
    for (const std::string& domain : domains) {
      const auto relays = mirror::RelaysOfDomain(daemons_, domain);
      watchers.insert(watchers.end(), relays.begin(), relays.end());
    }
  }
  const auto is_no_peer = [this](const mirror::DaemonRecord& daemon) {
    return daemon.name_ == options_.name_ || daemon.address_.empty();
  };
  watchers.erase(std::remove_if(watchers.begin(), watchers.end(), is_no_peer),
                 watchers.end());
  return watchers;
}

void StoreFollower::SetFollowsStore(bool follows_store,
                                    const std::string& reason) {
  if (follows_store_ && *follows_store_ == follows_store) {
    return;
  }
  follows_store_ = follows_store;
  Log(LogLevel::kInfo, "relay",
      follows_store ? "follows the store" : "follows a relay",
      {{"reason", reason}});
  // A daemon whose relays have failed watches a single kind first: if the store
  // is down as well, watching the others would only cost requests.
  const std::string& probe = options_.store_codec_.kinds_.configuration_;
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->SetActive(follows_store && (IsWatcher() || kind == probe));
  }
}

void StoreFollower::ActivateWatches() {
  const auto& probe = kinds_[options_.store_codec_.kinds_.configuration_];
  if (!follows_store_ || !*follows_store_ ||
      mirror::Age(probe.mirror_, http::EventLoop::Now()) > kMaxProbeAge) {
    return;
  }
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->SetActive(true);
  }
}

void StoreFollower::OnKindChanged(const std::string& kind,
                                  const mirror::KindChanges& changes) {
  on_changes_(kind, changes);
  if (kind == options_.store_codec_.kinds_.configuration_) {
    proof_.RecordPublished();
  }
  relay_server_.ReplyToWaitingReaders();
}

mirror::RelayRequest StoreFollower::MakeRequest() const {
  mirror::RelayRequest request;
  request.wait_ = RelayPollWait(options_.max_propagation_delay_,
                                proof_.MaxAge(), plan_.role_);
  for (const auto& [kind, followed] : kinds_) {
    request.revisions_[kind] = mirror::KnownRevision(followed.mirror_);
    request.eras_[kind] = followed.mirror_.era_;
  }
  request.daemon_ = options_.name_;
  if (evidence_.add_to_request_) {
    evidence_.add_to_request_(request);
  }
  return request;
}

void StoreFollower::PollRelay() {
  // Relays are polled by daemons that do not follow the store, and by a
  // starting daemon while the store is unavailable.
  const bool configured =
      kinds_[options_.store_codec_.kinds_.configuration_].mirror_.revision_ > 0;
  if (polling_relay_ || plan_.relays_.empty() || (IsWatcher() && configured)) {
    return;
  }
  polling_relay_ = true;
  const auto& relay = plan_.relays_[relay_index_ % plan_.relays_.size()];
  relay_client_ =
      std::make_unique<http::Client>(loop_, relay.address_, relay.port_);
  PollRelayAfter(Duration::zero());
}

void StoreFollower::PollRelayAfter(Duration pause) {
  relay_timer_ = loop_.Timers().Add(http::EventLoop::Now() + pause, [this] {
    relay_timer_.reset();
    const mirror::RelayRequest request = MakeRequest();
    http::ClientRequest http_request;
    http_request.method_ = "POST";
    http_request.target_ = kRelayPath;
    http_request.body_ = mirror::Encode(request);
    http_request.content_type_ = "application/cbor";
    http_request.timeout_ = Duration(request.wait_) + kRelayTimeoutMargin;
    polled_at_ = http::EventLoop::BootNow();
    relay_client_->Call(
        std::move(http_request),
        [this](const http::ClientResponse& r) { OnRelayReply(r); });
  });
}

void StoreFollower::OnRelayReply(const http::ClientResponse& reply) {
  if (reply.handler_failed_) {
    for (auto& [kind, followed] : kinds_) {
      mirror::Doubt(followed.mirror_);
    }
  }
  if (reply.status_ != 200) {
    OnRelayFailed(http::DescribeFailure(reply));
    return;
  }
  const auto decoded = mirror::DecodeRelayReply(reply.body_);
  if (!decoded) {
    OnRelayFailed(decoded.error().description_);
    return;
  }
  if (evidence_.on_reply_) {
    evidence_.on_reply_(*decoded);
  }
  if (!ApplyRelayReply(*decoded)) {
    OnRelayFailed("copy is out of date");
    return;
  }
  relay_failures_ = 0;
  last_fresh_ = http::EventLoop::Now();
  if (IsWatcher()) {
    polling_relay_ = false;
    return;
  }
  SetFollowsStore(false, "relay is up to date");
  PollRelayAfter(Duration::zero());
}

bool StoreFollower::ApplyRelayReply(const mirror::RelayReply& reply) {
  const Instant now = http::EventLoop::Now();
  const Duration limit = ShareOf(options_.max_propagation_delay_, kMaxAgeShare);
  bool fresh = true;
  for (auto& [kind, followed] : kinds_) {
    const auto found = reply.kinds_.find(kind);
    if (found == reply.kinds_.end()) {
      fresh = fresh && !followed.must_be_fresh_;
      continue;
    }
    const mirror::RelayedKind& relayed = found->second;
    const bool is_older =
        relayed.changes_.era_ < followed.mirror_.era_ ||
        mirror::StaysDoubtful(followed.mirror_, relayed.changes_);
    if (followed.must_be_fresh_ &&
        (is_older || Duration(relayed.age_) > limit)) {
      fresh = false;
    }
    if (is_older) {
      continue;
    }
    mirror::Confirm(followed.mirror_, now - relayed.age_);
    const bool changed = mirror::Apply(followed.mirror_, relayed.changes_);
    std::optional<mirror::ProofOutcome> outcome;
    if (kind == options_.store_codec_.kinds_.configuration_) {
      const mirror::RelayedProof proof{relayed.changes_.era_,
                                       relayed.changes_.revision_,
                                       relayed.proof_age_,
                                       reply.held_.value_or(milliseconds(0)),
                                       polled_at_,
                                       http::EventLoop::BootNow()};
      outcome = mirror::ProveRelayed(followed.mirror_, proof);
      fresh = fresh &&
              (!proof_.MaxAge() || mirror::IsRecent(proof, *proof_.MaxAge()));
    }
    if (changed) {
      OnKindChanged(kind, relayed.changes_);
    }
    if (outcome) {
      proof_.RecordOutcome(*outcome);
    }
  }
  return fresh;
}

void StoreFollower::OnRelayFailed(const std::string& reason) {
  ++relay_failures_;
  const bool tried_all =
      relay_failures_ >= static_cast<int>(plan_.relays_.size());
  static RateLimitedLogger lines;
  lines.Log(http::EventLoop::Now(), LogLevel::kInfo, "relay", "not usable",
            {{"reason", reason}, {"failures", relay_failures_}});
  ++relay_index_;
  const Instant now = http::EventLoop::Now();
  const Duration failover_delay = ShareOf(
      options_.max_propagation_delay_,
      plan_.role_ == mirror::RelayRole::kStandby ? kStandbyFailoverShare
                                                 : kReaderFailoverShare);
  if (tried_all && knows_daemons_ && now - last_fresh_ > failover_delay) {
    SetFollowsStore(true, "no relay is up to date");
  }
  const Duration pause = !tried_all ? Duration::zero()
                         : follows_store_ && *follows_store_
                             ? kRelayRetryDelay
                             : kFastRelayRetryDelay;
  // Deferred, as the client must not be destroyed within its own callback.
  relay_timer_ = loop_.Timers().Add(now + pause, [this] {
    relay_timer_.reset();
    polling_relay_ = false;
    PollRelay();
  });
}

void StoreFollower::RecordCopyAge(Instant now) {
  Duration oldest = Duration::zero();
  for (const auto& [kind, followed] : kinds_) {
    if (followed.must_be_fresh_ && followed.mirror_.confirmed_at_) {
      oldest = std::max(oldest, mirror::Age(followed.mirror_, now));
    }
  }
  metrics_.copy_age_.Set(ToMilliseconds(oldest));
}

void StoreFollower::Tick() {
  const Instant now = http::EventLoop::Now();
  relay_server_.CheckTimeouts(now);
  ActivateWatches();
  RecordCopyAge(now);
  RestartIfStopped();
}

// An exception may have left a watch, or the polling of relays, without a call
// and a timer.
void StoreFollower::RestartIfStopped() {
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->RestartIfStopped();
  }
  const bool is_called = relay_client_ && relay_client_->IsBusy();
  if (polling_relay_ && !relay_timer_ && !is_called) {
    polling_relay_ = false;
    PollRelay();
  }
}

}  // namespace clementinerill::gateway
