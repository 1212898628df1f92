#include "control/change_progress.h"

#include <utility>

namespace clementinerill {
namespace {

bool IsFinal(ChangeState state) noexcept {
  return state == ChangeState::kDone || state == ChangeState::kRolledBack;
}

}  // namespace

void UpdateProgress(ChangeProgress& progress,
                    const std::vector<VersionReport>& reports) {
  if (IsFinal(progress.state_)) {
    return;
  }
  const uint64_t version = progress.change_.version_;
  progress.in_force_ = 0;
  progress.daemons_ = static_cast<int>(reports.size());
  progress.reason_.clear();
  for (const VersionReport& report : reports) {
    if (report.version_ >= version) {
      ++progress.in_force_;
    } else if (report.invalid_version_ == version) {
      progress.reason_ =
          report.daemon_ + " reports it as invalid: " + report.invalid_reason_;
    }
  }
  if (progress.in_force_ > 0 && progress.in_force_ == progress.daemons_) {
    progress.state_ = ChangeState::kDone;
  } else {
    progress.state_ =
        progress.in_force_ > 0 ? ChangeState::kInForce : ChangeState::kAccepted;
  }
}

void RecordRollback(ChangeProgress& progress, std::string reason) {
  progress.state_ = ChangeState::kRolledBack;
  progress.reason_ = std::move(reason);
}

std::string Describe(const ChangeProgress& progress) {
  std::string text(NameOf(kChangeStateNames, progress.state_));
  if (progress.state_ == ChangeState::kInForce) {
    text += " at " + std::to_string(progress.in_force_);
    text += " of " + std::to_string(progress.daemons_);
  }
  return progress.reason_.empty() ? text : text + ": " + progress.reason_;
}

}  // namespace clementinerill
