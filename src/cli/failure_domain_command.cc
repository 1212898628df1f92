#include "cli/failure_domain_command.h"

#include <memory>
#include <string>

#include "admin/operations.h"
#include "cli/return_exit_code.h"
#include "cli/run_change.h"

namespace clementinerill {

void AddFailureDomainCommand(CLI::App& app, CommandIo io) {
  CLI::App* command = app.add_subcommand(
      "failure-domain",
      "Take a failure domain out of service or return it to service");
  const auto options = AddOperatorOptions(*command);
  AddWaitOption(*command, *options);
  const auto direction = std::make_shared<std::string>();
  const auto name = std::make_shared<std::string>();
  command->add_option("direction", *direction, "out or in")
      ->required()
      ->check(CLI::IsMember({"out", "in"}));
  command->add_option("name", *name, "Failure domain")->required();
  command->callback([options, direction, name, io] {
    const auto operation = SetInServiceOperation(*name, *direction == "in");
    ReturnExitCode(RunChange(*options, operation, io));
  });
}

}  // namespace clementinerill
