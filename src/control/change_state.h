#ifndef CLEMENTINERILL_CONTROL_CHANGE_STATE_H_
#define CLEMENTINERILL_CONTROL_CHANGE_STATE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How far an accepted change has got.
enum class ChangeState {
  kAccepted,  ///< The store holds it; no daemon has reported it.
  kInForce,   ///< Some live daemons apply it.
  kDone,      ///< All live daemons applied it at one time.
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
