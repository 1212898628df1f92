#include "gateway/kind_watch.h"

#include <algorithm>
#include <utility>

#include "base/backoff.h"
#include "base/hash.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Time allowed for a response beyond the long-poll time. It normally takes
// milliseconds; a slow store takes up to about 60 times as long, so the time
// grows with each failure.
constexpr Duration kInitialResponseTimeout = milliseconds(600);
constexpr Duration kMaxResponseTimeout = milliseconds(1500);
// Long-poll time after a failure, when the response shows that the store is
// back, and when the proof of the copy has become old, to renew it at once.
constexpr milliseconds kProbeWait{50};
// Delay after a failed request. It doubles because the store counts refused
// requests. With the longest timeout it stays below the time within which
// changes must be known.
constexpr BackoffPolicy kRetryBackoff{milliseconds(200), milliseconds(1000)};

Duration ResponseTimeout(int failures) {
  return std::min(kInitialResponseTimeout * (failures + 1),
                  Duration(kMaxResponseTimeout));
}

// Jitter from the current time, so that daemons do not retry in step.
uint64_t JitterOf(const std::string& kind, Instant now) {
  return Hash64(kind, static_cast<uint64_t>(now.time_since_epoch().count()));
}

}  // namespace

KindWatch::KindWatch(http::EventLoop& loop,
                     const Endpoint& store,
                     const StoreCodec& codec,
                     GatewayMetrics& metrics,
                     WatchOptions options,
                     mirror::KindMirror& mirror,
                     std::function<void(const mirror::KindChanges&)> on_changes,
                     std::function<void(int64_t era)> on_era)
    : loop_(loop),
      codec_(codec),
      metrics_(metrics),
      options_(std::move(options)),
      mirror_(mirror),
      on_changes_(std::move(on_changes)),
      on_era_(std::move(on_era)),
      client_(loop, store.address_, store.port_) {}

void KindWatch::SetActive(bool active) {
  if (active == active_) {
    return;
  }
  active_ = active;
  if (active) {
    failures_ = 0;
    pending_list_ = {};
    listed_until_.clear();
    Step();
    return;
  }
  StopWaiting();
}

void KindWatch::StopWaiting() {
  client_.Cancel();
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
}

void KindWatch::EnterEra(int64_t era) {
  if (active_ && !needs_list_ && mirror::IsOtherEra(mirror_, era) &&
      mirror_.era_ < era) {
    StopWaiting();
    needs_list_ = true;
    List();
  }
}

void KindWatch::RestartIfStopped() {
  if (active_ && !timer_ && !client_.IsBusy()) {
    mirror::Doubt(mirror_);
    Step();
  }
}

void KindWatch::Step() {
  if (needs_list_ || mirror::KnownRevision(mirror_) == 0) {
    List();
  } else {
    Watch();
  }
}

void KindWatch::ScheduleStep(Duration pause) {
  // Set by a handler that has thrown an exception afterwards.
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
  }
  timer_ = loop_.Timers().Add(http::EventLoop::Now() + pause, [this] {
    timer_.reset();
    Step();
  });
}

void KindWatch::List() {
  if (listed_until_.empty()) {
    list_sent_at_ = http::EventLoop::BootNow();
  }
  Call(codec_.list_target_(options_.kind_, listed_until_, false),
       milliseconds(0), &KindWatch::OnPage);
}

void KindWatch::Call(std::string target,
                     milliseconds wait,
                     void (KindWatch::*handler)(const http::ClientResponse&)) {
  http::ClientRequest request;
  request.target_ = std::move(target);
  request.timeout_ = wait + ResponseTimeout(failures_);
  called_at_ = http::EventLoop::Now();
  sent_at_ = http::EventLoop::BootNow();
  metrics_.store_calls_.Increment();
  client_.Call(std::move(request),
               [this, handler](const http::ClientResponse& response) {
                 if (response.handler_failed_) {
                   mirror::Doubt(mirror_);
                 }
                 if (response.status_ != 200) {
                   ReportProof(JudgeProof(response, nullptr, sent_at_));
                 }
                 (this->*handler)(response);
               });
}

void KindWatch::OnPage(const http::ClientResponse& response) {
  if (response.status_ != 200) {
    ScheduleRetry(http::DescribeFailure(response));
    return;
  }
  auto page = codec_.decode_page_(response.body_, options_.object_bounds_);
  if (!page) {
    ScheduleRetry(page.error().description_);
    return;
  }
  // Uses the revision of the first page: a watch from it repeats changes that
  // later pages already contain, but misses none.
  if (listed_until_.empty()) {
    pending_list_ = {};
    pending_list_.era_ = EraOf(response);
    pending_list_.revision_ = page->revision_;
    pending_list_.is_full_list_ = true;
  } else if (EraOf(response) != pending_list_.era_) {
    ScheduleRetry("the era changed during the list");
    return;
  }
  std::move(page->objects_.begin(), page->objects_.end(),
            std::back_inserter(pending_list_.upserted_));
  if (page->has_more_) {
    if (page->last_name_.empty() || page->last_name_ == listed_until_) {
      ScheduleRetry("the list does not advance");
      return;
    }
    listed_until_ = std::move(page->last_name_);
    List();
    return;
  }
  listed_until_.clear();
  if (!ApplyChanges(std::exchange(pending_list_, {}), response,
                    list_sent_at_)) {
    return;
  }
  needs_list_ = false;
  if (active_) {
    Watch();
  }
}

void KindWatch::Watch() {
  const milliseconds wait = NextWait();
  Call(codec_.watch_target_(options_.kind_, mirror_.revision_, wait), wait,
       &KindWatch::OnEvents);
}

milliseconds KindWatch::NextWait() {
  // Not twice in a row: if responses prove nothing, faster ones do not help.
  is_renewing_ =
      renewal_age_ && !is_renewing_ &&
      mirror::IsProofOlder(mirror_, *renewal_age_, http::EventLoop::BootNow());
  return failures_ > 0 || is_renewing_ ? std::min(kProbeWait, options_.wait_)
                                       : options_.wait_;
}

void KindWatch::OnEvents(const http::ClientResponse& response) {
  if (response.status_ != 200 && response.status_ != 410) {
    ScheduleRetry(http::DescribeFailure(response));
    return;
  }
  // Before the status is looked at: the revision of the copy may have been
  // given out again in the new era, so that the watch succeeds.
  if (EraOf(response) > mirror_.era_) {
    Log(LogLevel::kWarning, "store",
        "returned from an older copy, listing again",
        {{"kind", options_.kind_},
         {"era", EraOf(response)},
         {"previous_era", mirror_.era_},
         {"revision", mirror_.revision_}});
    needs_list_ = true;
    List();
    on_era_(EraOf(response));
    return;
  }
  if (response.status_ == 410) {
    OnHistoryGone();
    return;
  }
  auto events = codec_.decode_events_(response.body_, options_.object_bounds_);
  if (!events) {
    needs_list_ = true;
    ScheduleRetry(events.error().description_);
    return;
  }
  history_losses_ = 0;
  const bool changed = !events->upserted_.empty() || !events->removed_.empty();
  events->era_ = EraOf(response);
  if (!ApplyChanges(*events, response, sent_at_) || !active_) {
    return;
  }
  if (changed && options_.batch_delay_ > Duration::zero()) {
    ScheduleStep(options_.batch_delay_);
  } else {
    Watch();
  }
}

void KindWatch::OnHistoryGone() {
  static RateLimitedLogger lines;
  lines.Log(http::EventLoop::Now(), LogLevel::kInfo, "store",
            "history was compacted, listing again",
            {{"kind", options_.kind_},
             {"revision", mirror_.revision_},
             {"in_a_row", history_losses_ + 1}});
  needs_list_ = true;
  ++history_losses_;
  if (history_losses_ == 1) {
    List();
    return;
  }
  // The history is lost again right after a list. Until a watch works, changes
  // are noticed by listing as often as a watch would end.
  const BackoffPolicy backoff{kRetryBackoff.initial_delay_, options_.wait_};
  ScheduleStep(BackoffDelay(backoff, history_losses_ - 1,
                            JitterOf(options_.kind_, http::EventLoop::Now())));
}

int64_t KindWatch::EraOf(const http::ClientResponse& response) const {
  const int64_t era = codec_.decode_era_(response.headers_);
  return era > 0 ? era : mirror_.era_;
}

bool KindWatch::ApplyChanges(const mirror::KindChanges& changes,
                             const http::ClientResponse& response,
                             BootInstant sent) {
  const bool is_earlier_era = changes.era_ < mirror_.era_;
  if (is_earlier_era || mirror::StaysDoubtful(mirror_, changes)) {
    ReportProof(JudgeProof(response, &changes, sent));
    needs_list_ = true;
    ScheduleRetry(is_earlier_era ? "response of an earlier era"
                                 : "the list is older than the copy");
    return false;
  }
  RecordSuccess();
  mirror::Confirm(mirror_, http::EventLoop::Now());
  const bool changed = mirror::Apply(mirror_, changes);
  // Before the changes are passed on: readers receive the proof with them.
  const mirror::ProofOutcome outcome = JudgeProof(response, &changes, sent);
  if (changed) {
    on_changes_(changes);
  } else if (changes.revision_ < mirror_.revision_) {
    static RateLimitedLogger lines;
    lines.Log(http::EventLoop::Now(), LogLevel::kWarning, "store",
              "older than the copy, ignored",
              {{"kind", options_.kind_},
               {"list", changes.is_full_list_},
               {"objects", changes.upserted_.size()},
               {"revision", changes.revision_},
               {"known_revision", mirror_.revision_}});
  }
  ReportProof(outcome);
  return true;
}

mirror::ProofOutcome KindWatch::JudgeProof(const http::ClientResponse& response,
                                           const mirror::KindChanges* changes,
                                           BootInstant sent) {
  if (!options_.on_proof_) {
    return mirror::ProofOutcome::kNotApplied;
  }
  mirror::StoreResponse judged;
  judged.status_ = response.status_;
  judged.is_applied_ = changes != nullptr;
  judged.era_ = codec_.decode_era_(response.headers_);
  judged.revision_ = changes ? changes->revision_ : 0;
  judged.sent_ = sent;
  const mirror::ProofOutcome outcome = mirror::JudgeResponse(mirror_, judged);
  if (outcome == mirror::ProofOutcome::kProven) {
    mirror::Prove(mirror_, sent);
  }
  return outcome;
}

void KindWatch::ReportProof(mirror::ProofOutcome outcome) const {
  if (options_.on_proof_) {
    options_.on_proof_(outcome);
  }
}

void KindWatch::ScheduleRetry(const std::string& reason) {
  pending_list_ = {};
  listed_until_.clear();
  ++failures_;
  metrics_.store_failures_.Increment();
  const Instant now = http::EventLoop::Now();
  const LogFields fields = {{"kind", options_.kind_},
                            {"reason", reason},
                            {"failures", failures_},
                            {"waited_ms", ToMilliseconds(now - called_at_)},
                            {"revision", mirror_.revision_}};
  if (failures_ == 1) {
    Log(LogLevel::kWarning, "store", "lost", fields);
  } else {
    static RateLimitedLogger lines;
    lines.Log(now, LogLevel::kInfo, "store", "still lost", fields);
  }
  ScheduleStep(
      BackoffDelay(kRetryBackoff, failures_, JitterOf(options_.kind_, now)));
}

void KindWatch::RecordSuccess() {
  if (failures_ > 0) {
    Log(LogLevel::kInfo, "store", "regained",
        {{"kind", options_.kind_}, {"failures", failures_}});
  }
  failures_ = 0;
}

}  // namespace clementinerill::gateway
