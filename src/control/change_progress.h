#ifndef CLEMENTINERILL_CONTROL_CHANGE_PROGRESS_H_
#define CLEMENTINERILL_CONTROL_CHANGE_PROGRESS_H_

#include <string>
#include <vector>

#include "control/change.h"
#include "control/change_state.h"
#include "control/version_report.h"

namespace clementinerill {

/// @brief A change and its propagation to the live daemons.
///
/// `kDone` and `kRolledBack` are final: a daemon that joins later starts with
/// this version or a higher one.
struct ChangeProgress {
  Change change_;
  ChangeState state_ = ChangeState::kAccepted;
  int in_force_ = 0;    ///< Live daemons at this version or above.
  int daemons_ = 0;     ///< Live daemons.
  std::string reason_;  ///< Why it was rolled back or is blocked.
};

/// @brief Updates `progress` from the reports of all live daemons.
///
/// A live daemon that has not reported a version counts with version 0. Without
/// live daemons the change stays accepted. A change is not done while a daemon
/// reports its version as invalid.
void UpdateProgress(ChangeProgress& progress,
                    const std::vector<VersionReport>& reports);

/// @brief Records that a later change rolled this one back.
void RecordRollback(ChangeProgress& progress, std::string reason);

/// @brief One of `accepted`, `in force at 3 of 9`, `done` and
/// `rolled back: <reason>`. The first two are followed by `: <reason>` when a
/// daemon rejects the version.
[[nodiscard]] std::string Describe(const ChangeProgress& progress);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CHANGE_PROGRESS_H_
