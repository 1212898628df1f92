#ifndef CLEMENTINERILL_CLI_WAIT_FOR_CHANGE_H_
#define CLEMENTINERILL_CLI_WAIT_FOR_CHANGE_H_

#include <functional>

#include "base/time.h"
#include "control/change.h"
#include "control/change_progress.h"
#include "platform/platform_client.h"

namespace clementinerill {

/// @brief Follows a change in the fleet status until it is final.
///
/// Calls `on_progress` when the state or a count changes. Returns the last
/// progress when `deadline` passes; its reason then says why it is not final.
[[nodiscard]] ChangeProgress WaitForChange(
    PlatformClient& client,
    const Change& change,
    Instant deadline,
    const std::function<void(const ChangeProgress&)>& on_progress);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_WAIT_FOR_CHANGE_H_
