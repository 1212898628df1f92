#ifndef CLEMENTINERILL_CLI_FAILURE_DOMAIN_COMMAND_H_
#define CLEMENTINERILL_CLI_FAILURE_DOMAIN_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `failure-domain out|in <name>`, which takes a failure domain out
/// of service or returns it to service.
void AddFailureDomainCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_FAILURE_DOMAIN_COMMAND_H_
