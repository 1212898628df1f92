#include <CLI/CLI.hpp>

#include "cli/check_command.h"
#include "cli/explain_command.h"
#include "cli/serve_command.h"

int main(int argc, char** argv) {
  CLI::App app("A query tier over many shards");
  app.set_version_flag("--version", "clementinerill " CLEMENTINERILL_VERSION);
  app.require_subcommand(1);
  int exit_code = 0;
  clementinerill::AddServeCommand(app, exit_code);
  clementinerill::AddCheckCommand(app, exit_code);
  clementinerill::AddExplainCommand(app, exit_code);
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
