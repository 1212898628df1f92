#include <CLI/CLI.hpp>

#include "cli/check_command.h"
#include "cli/explain_command.h"
#include "cli/operator_commands.h"
#include "cli/run_command_line.h"
#include "cli/serve_command.h"
#include "platform/gateway_command.h"

int main(int argc, char** argv) {
  CLI::App app("A query tier over many shards");
  app.set_version_flag("--version", "clementinerill " CLEMENTINERILL_VERSION);
  app.require_subcommand(1);
  int exit_code = 0;
  clementinerill::AddServeCommand(app, exit_code);
  clementinerill::platform_adapter::AddGatewayCommand(app, exit_code);
  clementinerill::AddCheckCommand(app, exit_code);
  clementinerill::AddExplainCommand(app, exit_code);
  clementinerill::RegisterOperatorCommands(app);
  const int parsed = clementinerill::RunCommandLine(app, argc, argv);
  return parsed != 0 ? parsed : exit_code;
}
