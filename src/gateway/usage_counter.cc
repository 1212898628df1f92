#include "gateway/usage_counter.h"

#include <utility>

#include "logging/log.h"
#include "traffic/query.h"

namespace clementinerill::gateway {
namespace {

// Time from the first request of a batch until the batch is passed on. What a
// killed daemon has not passed on is lost.
constexpr Duration kFlushDelay = std::chrono::milliseconds(100);

}  // namespace

void UsageCounter::Start(http::EventLoop& loop, OnBatch on_batch) {
  loop_ = &loop;
  on_batch_ = std::move(on_batch);
}

void UsageCounter::Count(const std::string& organisation, Instant begin) {
  if (!loop_ || organisation.empty()) {
    return;
  }
  const Instant now = http::EventLoop::Now();
  const BootInstant boot = http::EventLoop::BootNow() - (now - begin);
  if (batch_.empty()) {
    loop_->Timers().Add(now + kFlushDelay, [this] { Flush(); });
  }
  if (!usage::AddRequest(batch_, organisation, boot)) {
    static RateLimitedLogger lines;
    lines.Log(now, LogLevel::kError, "usage", "request not counted",
              {{"reason", "too many in one batch"}});
  }
}

void UsageCounter::Flush() {
  on_batch_(std::exchange(batch_, {}));
}

void CountEndedQuery(UsageCounter& counter, const traffic::Query& query) {
  if (query.is_forwarded_ || query.organisation_.empty() ||
      !traffic::MayHaveRun(query)) {
    return;
  }
  counter.Count(query.organisation_, traffic::FirstRun(query));
}

}  // namespace clementinerill::gateway
