#include "cli/wait_for_change.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include "control/fleet_status.h"

namespace clementinerill {
namespace {

bool IsFinal(const ChangeProgress& progress) noexcept {
  return progress.state_ == ChangeState::kDone ||
         progress.state_ == ChangeState::kRolledBack;
}

void ApplyFleetStatus(ChangeProgress& progress, const std::string& document) {
  const Result<FleetStatus> status = ParseFleetStatus(document);
  if (!status) {
    progress.reason_ = Format(status.error());
    return;
  }
  for (const RolledBackChange& change : status->rolled_back_) {
    if (change.version_ == progress.change_.version_) {
      RecordRollback(progress, change.reason_);
    }
  }
  UpdateProgress(progress, status->reports_);
}

}  // namespace

ChangeProgress WaitForChange(
    PlatformClient& client,
    const Change& change,
    Instant deadline,
    const std::function<void(const ChangeProgress&)>& on_progress) {
  constexpr std::chrono::milliseconds kMaxWatchTimeout{10'000};
  ChangeProgress progress;
  progress.change_ = change;
  progress.reason_ = "no daemon has reported";
  std::string last_description;
  uint64_t seen_version = 0;
  int failures = 0;
  while (!IsFinal(progress)) {
    const auto remaining = deadline - std::chrono::steady_clock::now();
    if (remaining <= Duration::zero()) {
      break;
    }
    const std::chrono::milliseconds timeout(std::min<int64_t>(
        ToMilliseconds(remaining) + 1, kMaxWatchTimeout.count()));
    const ReadOutcome read =
        client.Watch(kFleetStatusKey, seen_version, timeout);
    if (read.status_ == ReadStatus::kFound) {
      seen_version = read.object_.version_;
      failures = 0;
      ApplyFleetStatus(progress, read.object_.value_);
    } else if (read.status_ != ReadStatus::kUnchanged) {
      progress.reason_ = read.reason_;
      ++failures;
      std::this_thread::sleep_for(
          std::min(client.DelayAfter(failures), Duration(remaining)));
    }
    if (Describe(progress) != last_description) {
      last_description = Describe(progress);
      on_progress(progress);
    }
  }
  return progress;
}

}  // namespace clementinerill
