#include "cli/get_command.h"

#include "admin/stored_configuration.h"
#include "cli/finish.h"
#include "cli/operator_options.h"
#include "cli/stored_report.h"
#include "config/configuration_json.h"
#include "platform/platform_client.h"

namespace clementinerill {
namespace {

ExitCode RunGet(const OperatorOptions& options, CommandIo io) {
  PlatformClient client(ToSettings(options));
  const StoredConfiguration stored = ReadStored(client, DeadlineOf(options));
  const ExitCode usable = CheckUsable(stored, io);
  if (usable == ExitCode::kDone) {
    *io.out_ << ToJsonText(stored.configuration_) << '\n';
  }
  return usable;
}

}  // namespace

void AddGetCommand(CLI::App& app, CommandIo io) {
  CLI::App* command =
      app.add_subcommand("get", "Print the stored configuration");
  const auto options = AddOperatorOptions(*command);
  command->callback([options, io] { Finish(RunGet(*options, io)); });
}

}  // namespace clementinerill
