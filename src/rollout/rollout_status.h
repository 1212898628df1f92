#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_STATUS_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_STATUS_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Status of a rollout.
enum class RolloutStatus {
  kRunning,
  kDone,        ///< All steps passed; can be rolled back for a while.
  kRolledBack,  ///< Stopped; the new version gets no traffic.
};

inline constexpr std::array<NameEntry<RolloutStatus>, 3> kRolloutStatusNames = {
    {
        {RolloutStatus::kRunning, "running"},
        {RolloutStatus::kDone, "done"},
        {RolloutStatus::kRolledBack, "rolled_back"},
    }};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_STATUS_H_
