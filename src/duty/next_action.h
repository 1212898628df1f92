#ifndef CLEMENTINERILL_DUTY_NEXT_ACTION_H_
#define CLEMENTINERILL_DUTY_NEXT_ACTION_H_

#include "base/boot_instant.h"
#include "duty/action.h"
#include "duty/state.h"

namespace clementinerill::duty {

/// @brief Decides what this daemon does now.
///
/// A read or write counts as sent at `now`, and must be sent at once. Its end
/// must be passed to `ApplyRead` or `ApplyWrite`; until then the action is
/// `kWait`.
[[nodiscard]] Action NextAction(State& state, BootInstant now);

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_NEXT_ACTION_H_
