#include "usage/report_sender.h"

#include <algorithm>

namespace clementinerill::usage {
namespace {

using std::chrono::milliseconds;

// Delay after the first failed call; doubles with each further one.
constexpr milliseconds kFirstRetryDelay{250};
constexpr milliseconds kMaxRetryDelay{2000};
constexpr int kMaxDoublings = 3;
// Longest delay that the API can ask for, so that reports remain in time.
constexpr milliseconds kMaxRetryAfter{5000};

}  // namespace

const WindowReport* NextReport(const ReportSender& sender,
                               const ReportMemory& memory,
                               const ReportBook& confirmed,
                               BootInstant now) {
  if (sender.sending_ || now < sender.next_call_) {
    return nullptr;
  }
  const auto next =
      std::find_if(confirmed.unsent_.begin(), confirmed.unsent_.end(),
                   [&memory](const WindowReport& report) {
                     return memory.acknowledged_.count(report.window_) == 0 &&
                            memory.rejected_.count(report.window_) == 0;
                   });
  return next == confirmed.unsent_.end() ? nullptr : &*next;
}

ReportOutcome OutcomeOf(int status) {
  if (status == 200) {
    return ReportOutcome::kAcknowledged;
  }
  return status == 400 || status == 422 ? ReportOutcome::kRejected
                                        : ReportOutcome::kRetry;
}

void StartCall(ReportSender& sender, int64_t window, BootInstant now) {
  sender.sending_ = window;
  sender.next_call_ = now + sender.min_interval_;
}

void FinishCall(ReportSender& sender,
                ReportMemory& memory,
                ReportOutcome outcome,
                milliseconds retry_after,
                BootInstant now) {
  const int64_t window = *sender.sending_;
  sender.sending_.reset();
  if (outcome == ReportOutcome::kRetry) {
    const milliseconds delay =
        kFirstRetryDelay * (1 << std::min(sender.failures_, kMaxDoublings));
    ++sender.failures_;
    sender.next_call_ = std::max<BootInstant>(
        sender.next_call_,
        now + std::max(std::min(delay, kMaxRetryDelay),
                       std::min(retry_after, kMaxRetryAfter)));
    return;
  }
  sender.failures_ = 0;
  if (outcome == ReportOutcome::kAcknowledged) {
    memory.acknowledged_.insert(window);
    sender.last_acknowledged_ = window;
  } else {
    memory.rejected_.insert(window);
  }
}

}  // namespace clementinerill::usage
