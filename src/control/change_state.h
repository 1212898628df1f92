#ifndef CLEMENTINERILL_CONTROL_CHANGE_STATE_H_
#define CLEMENTINERILL_CONTROL_CHANGE_STATE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Propagation state of an accepted change.
enum class ChangeState {
  kAccepted,  ///< The store holds it; no daemon has reported it.
  kInForce,   ///< Some live daemons have applied it.
  kDone,      ///< At some time all live daemons had applied it.
  kRolledBack,
};

inline constexpr std::array<NameEntry<ChangeState>, 4> kChangeStateNames = {{
    {ChangeState::kAccepted, "accepted"},
    {ChangeState::kInForce, "in force"},
    {ChangeState::kDone, "done"},
    {ChangeState::kRolledBack, "rolled back"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CHANGE_STATE_H_
