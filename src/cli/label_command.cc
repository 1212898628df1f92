#include "cli/label_command.h"

#include <memory>
#include <string>
#include <vector>

#include "admin/operations.h"
#include "cli/change_report.h"
#include "cli/finish.h"

namespace clementinerill {
namespace {

std::string CheckLabel(const std::string& text) {
  const size_t equals = text.find('=');
  return equals == std::string::npos || equals == 0
             ? "must be key=value, but is '" + text + "'"
             : "";
}

Labels ToLabels(const std::vector<std::string>& texts) {
  Labels labels;
  for (const std::string& text : texts) {
    const size_t equals = text.find('=');
    labels[text.substr(0, equals)] = text.substr(equals + 1);
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
      ->check(CheckLabel);
  command->callback([options, upstream, labels, io] {
    const auto operation = SetLabelsOperation(*upstream, ToLabels(*labels));
    Finish(RunChange(*options, operation, io));
  });
}

}  // namespace clementinerill
