#ifndef CLEMENTINERILL_CLI_TO_DAEMON_OPTIONS_H_
#define CLEMENTINERILL_CLI_TO_DAEMON_OPTIONS_H_

#include "daemon/daemon_options.h"
#include "settings/process_settings.h"

namespace clementinerill {

/// @brief Converts the settings of a process to the options of its daemon.
[[nodiscard]] DaemonOptions ToDaemonOptions(const Settings& settings,
                                            const Secret& admin_token);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_TO_DAEMON_OPTIONS_H_
