#include "gateway/store_follower.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRelayPath = "/relay";

// Shares of the time within which a change must be in force: a watcher hears
// from the store at least so often, a relay's copy may be so old, and a reader
// waits so long for news. Together they leave a third for a change of relay.
constexpr double kWatchWaitShare = 0.4;
constexpr double kFreshShare = 0.5;
constexpr double kRelayWaitShare = 0.16;
// Shares for which relays may fail before this daemon asks the store. The
// standby takes over at once; readers leave it the time to read its copy, so
// that the loss of a watcher does not send all of them to the store.
constexpr double kStandbyPatienceShare = 0.1;
constexpr double kReaderPatienceShare = 0.25;
// Where every daemon follows the store, nobody depends on how often it answers
// and a path that went silent is noticed by keep-alive probes.
constexpr milliseconds kLoneWatchWait{8000};
// A relay answers at the end of the wait; the rest covers a busy processor.
constexpr Duration kRelayMargin = milliseconds(800);
// Pause after all relays have failed.
constexpr Duration kRelayPause = milliseconds(700);
// The same while this daemon has not turned to the store yet.
constexpr Duration kImpatientPause = milliseconds(100);
// Changes of replicas come in groups when many start or leave.
constexpr Duration kReplicaSettle = milliseconds(400);
// Daemons register together at a start; their number is not urgent.
constexpr Duration kDaemonSettle = milliseconds(1000);
// Period in which connections of readers are checked.
constexpr Duration kTick = milliseconds(300);
// The store answered the first watch of a daemon this recently.
constexpr Duration kProbeAnswered = milliseconds(2500);
// Fewer daemons than this follow the store each by itself: relays need shorter
// waits, which cost more calls than they save.
constexpr size_t kLeastDaemonsForRelays = 16;

milliseconds ShareOf(Duration bound, double share) {
  return std::chrono::duration_cast<milliseconds>(bound * share);
}

bool HasChanges(const mirror::KindChanges& changes) {
  return changes.is_full_list_ || !changes.upserted_.empty() ||
         !changes.removed_.empty();
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
      relay_listener_(
          loop,
          [this](const Caller& caller, const http::HttpRequest& request) {
            OnRelayRequest(caller, request);
          }) {
  const StoreKinds& kinds = options.store_codec_.kinds_;
  AddKind(kinds.configuration_, {}, true);
  AddKind(kinds.replicas_, kReplicaSettle, true);
  AddKind(kinds.evacuations_, {}, true);
  AddKind(kinds.rollouts_, {}, true);
  AddKind(kinds.daemons_, kDaemonSettle, false);
}

void StoreFollower::AddKind(const std::string& kind,
                            Duration settle,
                            bool must_be_fresh) {
  FollowedKind& followed = kinds_[kind];
  followed.must_be_fresh_ = must_be_fresh;
  followed.watch_ = std::make_unique<KindWatch>(
      loop_, options_.store_, options_.store_codec_, metrics_,
      WatchOptions{kind, kLoneWatchWait, settle}, followed.mirror_,
      [this, kind](const mirror::KindChanges& changes) {
        OnKindChanged(kind, changes);
      });
}

void StoreFollower::Start() {
  if (options_.relay_listen_) {
    const auto port = relay_listener_.Listen(options_.relay_listen_->address_,
                                             options_.relay_listen_->port_);
    if (!port) {
      Log(LogLevel::kError, "relay", "cannot listen, others cannot ask here",
          {{"error", Format(port.error())}});
    }
  }
  for (const Endpoint& seed : options_.seeds_) {
    if (!options_.relay_listen_ || !(seed == *options_.relay_listen_)) {
      plan_.relays_.push_back({"seed", "", seed.address_, seed.port_});
    }
  }
  AskRelay();
  Tick();
}

void StoreFollower::FindDaemons() {
  kinds_[options_.store_codec_.kinds_.daemons_].watch_->SetActive(true);
}

void StoreFollower::SetDaemons(
    const std::vector<mirror::DaemonRecord>& daemons) {
  mirror::RelayPlan plan = mirror::PlanRelays(daemons, options_.name_);
  const bool relays = daemons.size() >= kLeastDaemonsForRelays;
  if (!relays) {
    plan.role_ = mirror::RelayRole::kWatcher;
  }
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->SetWait(
        relays && followed.must_be_fresh_
            ? ShareOf(options_.max_propagation_delay_, kWatchWaitShare)
            : kLoneWatchWait);
  }
  if (plan.role_ != plan_.role_) {
    Log(LogLevel::kInfo, "relay", "role changed",
        {{"role", NameOf(mirror::kRelayRoleNames, plan.role_)},
         {"daemons", daemons.size()},
         {"relays", plan.relays_.size()}});
  }
  plan_ = std::move(plan);
  if (!knows_daemons_) {
    knows_daemons_ = true;
    last_fresh_ = http::EventLoop::Now();
  }
  if (IsWatcher()) {
    SetDirect(true, "watcher");
  } else {
    AskRelay();
  }
}

void StoreFollower::SetDirect(bool direct, const std::string& reason) {
  if (direct_ && *direct_ == direct) {
    return;
  }
  direct_ = direct;
  Log(LogLevel::kInfo, "relay",
      direct ? "follows the store" : "follows a relay", {{"reason", reason}});
  // A daemon whose relays failed asks for one kind first: when the store is
  // down as well, the others would only cost calls.
  const std::string& probe = options_.store_codec_.kinds_.configuration_;
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->SetActive(direct && (IsWatcher() || kind == probe));
  }
}

void StoreFollower::ActivateWatches() {
  const auto& probe = kinds_[options_.store_codec_.kinds_.configuration_];
  if (!direct_ || !*direct_ ||
      mirror::Age(probe.mirror_, http::EventLoop::Now()) > kProbeAnswered) {
    return;
  }
  for (auto& [kind, followed] : kinds_) {
    followed.watch_->SetActive(true);
  }
}

void StoreFollower::OnKindChanged(const std::string& kind,
                                  const mirror::KindChanges& changes) {
  on_changes_(kind, changes);
  ReplyToWaiting();
}

mirror::RelayRequest StoreFollower::MakeRequest() const {
  mirror::RelayRequest request;
  request.wait_ = ShareOf(options_.max_propagation_delay_, kRelayWaitShare);
  for (const auto& [kind, followed] : kinds_) {
    request.revisions_[kind] = followed.mirror_.revision_;
  }
  request.daemon_ = options_.name_;
  if (own_evidence_) {
    request.evidence_ = own_evidence_();
  }
  return request;
}

void StoreFollower::AskRelay() {
  // Relays are asked by daemons that do not follow the store, and by one that
  // starts while the store does not answer.
  const bool configured =
      kinds_[options_.store_codec_.kinds_.configuration_].mirror_.revision_ > 0;
  if (asking_ || plan_.relays_.empty() || (IsWatcher() && configured)) {
    return;
  }
  asking_ = true;
  const auto& relay = plan_.relays_[relay_ % plan_.relays_.size()];
  relay_client_ =
      std::make_unique<http::Client>(loop_, relay.address_, relay.port_);
  AskRelayAfter(Duration::zero());
}

void StoreFollower::AskRelayAfter(Duration pause) {
  loop_.Timers().Add(http::EventLoop::Now() + pause, [this] {
    const mirror::RelayRequest request = MakeRequest();
    http::ClientRequest call;
    call.method_ = "POST";
    call.target_ = kRelayPath;
    call.body_ = mirror::Encode(request);
    call.content_type_ = "application/cbor";
    call.timeout_ = Duration(request.wait_) + kRelayMargin;
    relay_client_->Call(std::move(call), [this](const http::ClientResponse& r) {
      OnRelayReply(r);
    });
  });
}

void StoreFollower::OnRelayReply(const http::ClientResponse& reply) {
  if (reply.status_ != 200) {
    OnRelaySilent(http::DescribeFailure(reply));
    return;
  }
  const auto decoded = mirror::DecodeRelayReply(reply.body_);
  if (!decoded) {
    OnRelaySilent(decoded.error().description_);
    return;
  }
  if (!TakeRelayed(*decoded)) {
    OnRelaySilent("copy is out of date");
    return;
  }
  relay_failures_ = 0;
  last_fresh_ = http::EventLoop::Now();
  if (IsWatcher()) {
    asking_ = false;
    return;
  }
  SetDirect(false, "relay is up to date");
  AskRelayAfter(Duration::zero());
}

bool StoreFollower::TakeRelayed(const mirror::RelayReply& reply) {
  const Instant now = http::EventLoop::Now();
  const Duration limit = ShareOf(options_.max_propagation_delay_, kFreshShare);
  bool fresh = true;
  for (auto& [kind, followed] : kinds_) {
    const auto found = reply.kinds_.find(kind);
    if (found == reply.kinds_.end()) {
      fresh = fresh && !followed.must_be_fresh_;
      continue;
    }
    const mirror::RelayedKind& relayed = found->second;
    if (followed.must_be_fresh_ && Duration(relayed.age_) > limit) {
      fresh = false;
    }
    mirror::Confirm(followed.mirror_, now - relayed.age_);
    if (mirror::Apply(followed.mirror_, relayed.changes_)) {
      OnKindChanged(kind, relayed.changes_);
    }
  }
  return fresh;
}

void StoreFollower::OnRelaySilent(const std::string& reason) {
  ++relay_failures_;
  const bool tried_all =
      relay_failures_ >= static_cast<int>(plan_.relays_.size());
  static RateLimitedLogger lines;
  lines.Log(http::EventLoop::Now(), LogLevel::kInfo, "relay", "not usable",
            {{"reason", reason}, {"failures", relay_failures_}});
  ++relay_;
  const Instant now = http::EventLoop::Now();
  const Duration patience = ShareOf(options_.max_propagation_delay_,
                                    plan_.role_ == mirror::RelayRole::kStandby
                                        ? kStandbyPatienceShare
                                        : kReaderPatienceShare);
  if (tried_all && knows_daemons_ && now - last_fresh_ > patience) {
    SetDirect(true, "no relay is up to date");
  }
  const Duration pause = !tried_all            ? Duration::zero()
                         : direct_ && *direct_ ? kRelayPause
                                               : kImpatientPause;
  // The client cannot be replaced while it reports its reply.
  loop_.Timers().Add(now + pause, [this] {
    asking_ = false;
    AskRelay();
  });
}

void StoreFollower::OnRelayRequest(const Caller& caller,
                                   const http::HttpRequest& request) {
  if (request.target_ == kAlivePath) {
    caller->Respond({200, {}, "", true}, true);
    return;
  }
  const auto decoded = mirror::DecodeRelayRequest(request.body_);
  if (request.target_ != kRelayPath || !decoded) {
    http::HttpResponse answer;
    answer.status_ = decoded ? 404 : 400;
    caller->Respond(answer, false);
    return;
  }
  if (take_evidence_ && !decoded->evidence_.empty()) {
    take_evidence_(*decoded);
  }
  if (TryReply(caller, *decoded, decoded->wait_ <= milliseconds(0))) {
    return;
  }
  const auto place = waiting_.insert(waiting_.end(), {caller, *decoded, {}});
  const auto wait = std::min(decoded->wait_, kLoneWatchWait);
  place->timer_ =
      loop_.Timers().Add(http::EventLoop::Now() + wait, [this, place] {
        const WaitingReader reader = *place;
        waiting_.erase(place);
        (void)TryReply(reader.caller_, reader.request_, true);
      });
}

bool StoreFollower::TryReply(const Caller& caller,
                             const mirror::RelayRequest& request,
                             bool without_news) {
  const Instant now = http::EventLoop::Now();
  mirror::RelayReply reply;
  bool has_news = without_news;
  for (const auto& [kind, followed] : kinds_) {
    if (followed.mirror_.revision_ == 0) {
      continue;
    }
    const auto known = request.revisions_.find(kind);
    const int64_t revision =
        known == request.revisions_.end() ? 0 : known->second;
    mirror::RelayedKind& relayed = reply.kinds_[kind];
    relayed.changes_ = mirror::ChangesSince(followed.mirror_, revision);
    relayed.age_ = std::chrono::duration_cast<milliseconds>(
        mirror::Age(followed.mirror_, now));
    // Other kinds move the store's revision on without any change here.
    has_news = has_news || (followed.mirror_.revision_ > revision &&
                            HasChanges(relayed.changes_));
  }
  if (!has_news) {
    return false;
  }
  http::HttpResponse answer;
  answer.status_ = 200;
  answer.headers_.emplace_back("Content-Type", "application/cbor");
  answer.body_ = mirror::Encode(reply);
  caller->Respond(answer, false);
  return true;
}

void StoreFollower::ReplyToWaiting() {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!TryReply(it->caller_, it->request_, false)) {
      ++it;
      continue;
    }
    loop_.Timers().Cancel(it->timer_);
    it = waiting_.erase(it);
  }
}

void StoreFollower::Tick() {
  relay_listener_.CheckTimeouts(false, http::EventLoop::Now());
  ActivateWatches();
  loop_.Timers().Add(http::EventLoop::Now() + kTick, [this] { Tick(); });
}

}  // namespace clementinerill::gateway
