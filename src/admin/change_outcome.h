#ifndef CLEMENTINERILL_ADMIN_CHANGE_OUTCOME_H_
#define CLEMENTINERILL_ADMIN_CHANGE_OUTCOME_H_

#include <cstdint>
#include <string>

#include "admin/change_result.h"

namespace clementinerill {

/// @brief The outcome of `ApplyChange`.
struct ChangeOutcome {
  ChangeResult result_ = ChangeResult::kUnavailable;
  /// The version that the change created, or the current version if nothing was
  /// written; 0 if unknown.
  uint64_t version_ = 0;
  std::string change_id_;  ///< Set if a write was attempted.
  std::string reason_;     ///< Empty if accepted or unchanged.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_CHANGE_OUTCOME_H_
