#include "cli/label_command.h"

#include <memory>
#include <string>
#include <vector>

#include "admin/operations.h"
#include "cli/return_exit_code.h"
#include "cli/run_change.h"

namespace clementinerill {
namespace {

std::string ValidateLabel(const std::string& argument) {
  const size_t equals = argument.find('=');
  return equals == std::string::npos || equals == 0
             ? "must be key=value, but is '" + argument + "'"
             : "";
}

Labels ToLabels(const std::vector<std::string>& arguments) {
  Labels labels;
  for (const std::string& argument : arguments) {
    const size_t equals = argument.find('=');
    labels[argument.substr(0, equals)] = argument.substr(equals + 1);
  }
  return labels;
}

}  // namespace

void AddLabelCommand(CLI::App& app, CommandIo io) {
  CLI::App* command = app.add_subcommand("label", "Set labels of an upstream");
  const auto options = AddOperatorOptions(*command);
  AddWaitOption(*command, *options);
  const auto upstream = std::make_shared<std::string>();
  const auto labels = std::make_shared<std::vector<std::string>>();
  command->add_option("upstream", *upstream, "Upstream")->required();
  command->add_option("labels", *labels, "key=value; key= removes the label")
      ->required()
      ->check(ValidateLabel);
  command->callback([options, upstream, labels, io] {
    const auto operation = SetLabelsOperation(*upstream, ToLabels(*labels));
    ReturnExitCode(RunChange(*options, operation, io));
  });
}

}  // namespace clementinerill
