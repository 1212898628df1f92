#ifndef CLEMENTINERILL_CLI_WAIT_FOR_CHANGE_H_
#define CLEMENTINERILL_CLI_WAIT_FOR_CHANGE_H_

#include <functional>

#include "base/time.h"
#include "control/change.h"
#include "control/change_progress.h"
#include "platform/platform_client.h"

namespace clementinerill {

/// @brief Watches the fleet status until the change is done or rolled back.
///
/// Calls `on_progress` each time the description of the progress changes.
/// Returns the last progress at `deadline`; its reason then says why the change
/// is not final.
[[nodiscard]] ChangeProgress WaitForChange(
    PlatformClient& client,
    const Change& change,
    Instant deadline,
    const std::function<void(const ChangeProgress&)>& on_progress);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_WAIT_FOR_CHANGE_H_
