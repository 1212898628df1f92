#include "cli/check_command.h"

#include <iostream>
#include <memory>
#include <string>

#include "cli/load_settings.h"

namespace clementinerill {
namespace {

struct CheckArguments {
  std::string path_;
  bool allow_ephemeral_port_ = false;
};

int Check(const CheckArguments& arguments) {
  const auto settings =
      LoadSettings(arguments.path_, arguments.allow_ephemeral_port_
                                        ? ListenPortPolicy::kAllowEphemeral
                                        : ListenPortPolicy::kFixed);
  if (!settings) {
    PrintErrors(settings.error());
    return 1;
  }
  std::cout << arguments.path_ << ": valid\n";
  return 0;
}

}  // namespace

void AddCheckCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("check", "Check a settings file");
  const auto arguments = std::make_shared<CheckArguments>();
  command->add_option("file", arguments->path_, "Settings file")->required();
  command->add_flag("--any-port", arguments->allow_ephemeral_port_,
                    "Accept port 0 in listening endpoints");
  command->callback([arguments, &exit_code] { exit_code = Check(*arguments); });
}

}  // namespace clementinerill
