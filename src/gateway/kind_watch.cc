#include "gateway/kind_watch.h"

#include <algorithm>
#include <utility>

#include "base/backoff.h"
#include "base/hash.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// A list takes milliseconds. A store that is silent loses the call, so the
// first wait is short for an early return; a slow store takes up to about 60
// times as long, so the wait grows with each failure.
constexpr Duration kListTimeout = milliseconds(600);
constexpr Duration kMostListTimeout = milliseconds(3000);
// A watch answers at the end of its wait; the rest covers a slow store.
constexpr Duration kWatchMargin = milliseconds(1500);
// Pause after a failed call. The store counts refused calls, so the pause
// doubles; it stays below the time in which changes must be known.
constexpr BackoffPolicy kBackoff{milliseconds(200), milliseconds(1000)};

// Differs between daemons, so that they do not call in step.
Duration PauseAfter(int failures, const std::string& kind, Instant now) {
  const auto turn = static_cast<uint64_t>(now.time_since_epoch().count());
  return BackoffDelay(kBackoff, failures, Hash64(kind, turn));
}

}  // namespace

KindWatch::KindWatch(http::EventLoop& loop,
                     const Endpoint& store,
                     const StoreCodec& codec,
                     GatewayMetrics& metrics,
                     WatchOptions options,
                     mirror::KindMirror& mirror,
                     std::function<void(const mirror::KindChanges&)> on_changes)
    : loop_(loop),
      codec_(codec),
      metrics_(metrics),
      options_(std::move(options)),
      mirror_(mirror),
      on_changes_(std::move(on_changes)),
      client_(loop, store.address_, store.port_) {}

void KindWatch::SetActive(bool active) {
  if (active == active_) {
    return;
  }
  active_ = active;
  if (active) {
    failures_ = 0;
    listed_ = {};
    Step();
    return;
  }
  client_.Cancel();
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
}

void KindWatch::Step() {
  if (must_list_ || mirror_.revision_ == 0) {
    List();
  } else {
    Watch();
  }
}

void KindWatch::StepAfter(Duration pause) {
  timer_ = loop_.Timers().Add(http::EventLoop::Now() + pause, [this] {
    timer_.reset();
    Step();
  });
}

void KindWatch::List() {
  const std::string after =
      listed_.upserted_.empty() ? "" : listed_.upserted_.back().name_;
  http::ClientRequest call;
  call.target_ = codec_.list_target_(options_.kind_, after, false);
  call.timeout_ =
      std::min(kListTimeout * (failures_ + 1), Duration(kMostListTimeout));
  client_.Call(std::move(call),
               [this](const http::ClientResponse& reply) { OnPage(reply); });
}

void KindWatch::OnPage(const http::ClientResponse& reply) {
  if (reply.status_ != 200) {
    RetryLater(http::DescribeFailure(reply));
    return;
  }
  auto page = codec_.decode_page_(reply.body_);
  if (!page) {
    RetryLater(page.error().description_);
    return;
  }
  // The first page's revision: a watch from it repeats changes that later
  // pages already show, and misses none.
  if (listed_.upserted_.empty()) {
    listed_.revision_ = page->revision_;
  }
  std::move(page->objects_.begin(), page->objects_.end(),
            std::back_inserter(listed_.upserted_));
  if (page->has_more_ && !page->objects_.empty()) {
    List();
    return;
  }
  must_list_ = false;
  const mirror::KindChanges listed = std::exchange(listed_, {});
  Take({listed.revision_, true, listed.upserted_, {}});
  if (active_) {
    Watch();
  }
}

void KindWatch::Watch() {
  http::ClientRequest call;
  call.target_ =
      codec_.watch_target_(options_.kind_, mirror_.revision_, options_.wait_);
  call.timeout_ = Duration(options_.wait_) + kWatchMargin;
  client_.Call(std::move(call),
               [this](const http::ClientResponse& reply) { OnEvents(reply); });
}

void KindWatch::OnEvents(const http::ClientResponse& reply) {
  if (reply.status_ == 410) {
    Log(LogLevel::kInfo, "store", "history is gone, listing again",
        {{"kind", options_.kind_}, {"revision", mirror_.revision_}});
    must_list_ = true;
    List();
    return;
  }
  if (reply.status_ != 200) {
    RetryLater(http::DescribeFailure(reply));
    return;
  }
  auto events = codec_.decode_events_(reply.body_);
  if (!events) {
    must_list_ = true;
    RetryLater(events.error().description_);
    return;
  }
  const bool changed = !events->upserted_.empty() || !events->removed_.empty();
  Take(*events);
  if (!active_) {
    return;
  }
  if (changed && options_.settle_ > Duration::zero()) {
    StepAfter(options_.settle_);
  } else {
    Watch();
  }
}

void KindWatch::Take(const mirror::KindChanges& changes) {
  NoteSuccess();
  mirror::Confirm(mirror_, http::EventLoop::Now());
  if (mirror::Apply(mirror_, changes)) {
    on_changes_(changes);
  }
}

void KindWatch::RetryLater(const std::string& reason) {
  listed_ = {};
  ++failures_;
  metrics_.store_failures_.Increment();
  if (failures_ == 1) {
    Log(LogLevel::kWarning, "store", "lost",
        {{"kind", options_.kind_}, {"reason", reason}});
  }
  StepAfter(PauseAfter(failures_, options_.kind_, http::EventLoop::Now()));
}

void KindWatch::NoteSuccess() {
  if (failures_ > 0) {
    Log(LogLevel::kInfo, "store", "regained",
        {{"kind", options_.kind_}, {"failures", failures_}});
  }
  failures_ = 0;
}

}  // namespace clementinerill::gateway
