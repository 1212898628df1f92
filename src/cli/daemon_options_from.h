#ifndef CLEMENTINERILL_CLI_DAEMON_OPTIONS_FROM_H_
#define CLEMENTINERILL_CLI_DAEMON_OPTIONS_FROM_H_

#include "daemon/daemon_options.h"
#include "settings/process_settings.h"

namespace clementinerill {

/// @brief The options of the daemon that `settings` describe.
[[nodiscard]] DaemonOptions DaemonOptionsFrom(const Settings& settings,
                                              const Secret& admin_token);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_DAEMON_OPTIONS_FROM_H_
