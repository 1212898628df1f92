#include "cli/apply_command.h"

#include <memory>
#include <string>

#include "admin/operations.h"
#include "cli/document_file.h"
#include "cli/return_exit_code.h"
#include "cli/run_change.h"

namespace clementinerill {
namespace {

ExitCode RunApply(const OperatorOptions& options,
                  const std::string& path,
                  CommandIo io) {
  const auto document = ReadDocumentFile(path, io);
  if (!document) {
    return ExitCode::kInvalid;
  }
  return RunChange(options, ReplaceOperation(*document), io,
                   document->version_);
}

}  // namespace

void AddApplyCommand(CLI::App& app, CommandIo io) {
  CLI::App* command = app.add_subcommand(
      "apply", "Replace the stored configuration with a file");
  const auto options = AddOperatorOptions(*command);
  AddWaitOption(*command, *options);
  const auto path = std::make_shared<std::string>();
  command->add_option("file", *path, "Configuration document, JSON")
      ->required();
  command->callback(
      [options, path, io] { ReturnExitCode(RunApply(*options, *path, io)); });
}

}  // namespace clementinerill
