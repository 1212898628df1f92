#include "cli/get_command.h"

#include "admin/stored_configuration.h"
#include "cli/check_stored_configuration.h"
#include "cli/operator_options.h"
#include "cli/return_exit_code.h"
#include "config/configuration_json.h"
#include "platform/platform_client.h"

namespace clementinerill {
namespace {

ExitCode RunGet(const OperatorOptions& options, CommandIo io) {
  PlatformClient client(ToPlatformSettings(options));
  const StoredConfiguration stored =
      ReadStoredConfiguration(client, DeadlineOf(options));
  const ExitCode code = CheckStoredConfiguration(stored, io);
  if (code == ExitCode::kDone) {
    *io.out_ << ToJsonText(stored.configuration_) << '\n';
  }
  return code;
}

}  // namespace

void AddGetCommand(CLI::App& app, CommandIo io) {
  CLI::App* command =
      app.add_subcommand("get", "Print the stored configuration");
  const auto options = AddOperatorOptions(*command);
  command->callback([options, io] { ReturnExitCode(RunGet(*options, io)); });
}

}  // namespace clementinerill
