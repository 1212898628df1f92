#include "cli/operator_commands.h"

#include "cli/apply_command.h"
#include "cli/diff_command.h"
#include "cli/failure_domain_command.h"
#include "cli/get_command.h"
#include "cli/label_command.h"
#include "cli/watch_command.h"

namespace clementinerill {

void RegisterOperatorCommands(CLI::App& app, CommandIo io) {
  AddApplyCommand(app, io);
  AddGetCommand(app, io);
  AddDiffCommand(app, io);
  AddWatchCommand(app, io);
  AddFailureDomainCommand(app, io);
  AddLabelCommand(app, io);
}

}  // namespace clementinerill
