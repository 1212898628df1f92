#include "gateway/kind_watch.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// A list takes milliseconds; a slow store takes up to about 60 times as long.
constexpr Duration kListTimeout = milliseconds(2000);
// A watch answers at the end of its wait; the rest covers a slow store.
constexpr Duration kWatchMargin = milliseconds(1500);
// Bounds of the pause after a failed call. The store counts refused calls, so
// the pause doubles; it stays below the time in which changes must be known.
constexpr Duration kLeastPause = milliseconds(150);
constexpr Duration kMostPause = milliseconds(800);

Duration PauseAfter(int failures, const std::string& kind, Instant now) {
  const int doublings = std::min(failures - 1, 4);
  const Duration pause =
      std::min(kLeastPause * (1 << doublings), Duration(kMostPause));
  // Between 75% and 125%, so that daemons do not call in step.
  const auto turn = static_cast<uint64_t>(now.time_since_epoch().count());
  const auto percent = static_cast<int64_t>(75 + Hash64(kind, turn) % 51);
  return pause * percent / 100;
}

}  // namespace

KindWatch::KindWatch(http::EventLoop& loop,
                     const Endpoint& store,
                     const StorePort& port,
                     GatewayMetrics& metrics,
                     WatchOptions options,
                     WatchHandlers handlers)
    : loop_(loop),
      port_(port),
      metrics_(metrics),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      caller_(loop, store) {}

void KindWatch::Start() {
  List();
}

void KindWatch::After(Duration pause, void (KindWatch::*step)()) {
  loop_.Timers().Add(http::EventLoop::Now() + pause,
                     [this, step] { (this->*step)(); });
}

void KindWatch::List() {
  const std::string after = listed_.empty() ? "" : listed_.back().name_;
  caller_.Call({"GET", port_.list_target_(options_.kind_, after, false), "",
                kListTimeout},
               [this](const StoreReply& reply) { OnPage(reply); });
}

void KindWatch::OnPage(const StoreReply& reply) {
  if (reply.status_ != 200) {
    listed_.clear();
    RetryLater("status " + std::to_string(reply.status_));
    return;
  }
  auto page = port_.decode_page_(reply.body_);
  if (!page) {
    listed_.clear();
    RetryLater(page.error().description_);
    return;
  }
  // The first page's revision: a watch from it repeats changes that later
  // pages already show, and misses none.
  revision_ = listed_.empty() ? page->revision_ : revision_;
  std::move(page->objects_.begin(), page->objects_.end(),
            std::back_inserter(listed_));
  if (page->has_more_ && !page->objects_.empty()) {
    List();
    return;
  }
  NoteSuccess();
  listing_ = false;
  auto listed = std::move(listed_);
  listed_.clear();
  handlers_.on_list_(std::move(listed));
  Watch();
}

void KindWatch::Watch() {
  caller_.Call(
      {"GET", port_.watch_target_(options_.kind_, revision_, options_.wait_),
       "", Duration(options_.wait_) + kWatchMargin},
      [this](const StoreReply& reply) { OnEvents(reply); });
}

void KindWatch::OnEvents(const StoreReply& reply) {
  if (reply.status_ == 410) {
    Log(LogLevel::kInfo, "store", "history is gone, listing again",
        {{"kind", options_.kind_}, {"revision", revision_}});
    listing_ = true;
    List();
    return;
  }
  if (reply.status_ != 200) {
    RetryLater("status " + std::to_string(reply.status_));
    return;
  }
  auto events = port_.decode_events_(reply.body_);
  if (!events) {
    listing_ = true;
    RetryLater(events.error().description_);
    return;
  }
  NoteSuccess();
  revision_ = std::max(revision_, events->revision_);
  const bool changed = !events->events_.empty();
  if (changed) {
    handlers_.on_events_(std::move(events->events_));
  }
  After(changed ? options_.settle_ : Duration::zero(), &KindWatch::Watch);
}

void KindWatch::RetryLater(const std::string& reason) {
  ++failures_;
  metrics_.store_failures_.Increment();
  if (failures_ == 1) {
    Log(LogLevel::kWarning, "store", "lost",
        {{"kind", options_.kind_}, {"reason", reason}});
  }
  After(PauseAfter(failures_, options_.kind_, http::EventLoop::Now()),
        listing_ ? &KindWatch::List : &KindWatch::Watch);
}

void KindWatch::NoteSuccess() {
  if (failures_ > 0) {
    Log(LogLevel::kInfo, "store", "regained",
        {{"kind", options_.kind_}, {"failures", failures_}});
  }
  failures_ = 0;
}

}  // namespace clementinerill::gateway
