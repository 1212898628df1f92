#include "cli/diff_command.h"

#include <memory>
#include <sstream>
#include <string>

#include <nlohmann/json.hpp>

#include "admin/document_diff.h"
#include "admin/stored_configuration.h"
#include "cli/check_stored_configuration.h"
#include "cli/document_file.h"
#include "cli/operator_options.h"
#include "cli/return_exit_code.h"
#include "platform/platform_client.h"

namespace clementinerill {
namespace {

using nlohmann::json;

json SplitLines(const std::string& text) {
  json lines = json::array();
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

ExitCode RunDiff(const OperatorOptions& options,
                 const std::string& path,
                 CommandIo io) {
  const auto document = ReadDocumentFile(path, io);
  if (!document) {
    return ExitCode::kInvalid;
  }
  PlatformClient client(ToPlatformSettings(options));
  const StoredConfiguration stored =
      ReadStoredConfiguration(client, DeadlineOf(options));
  const bool is_absent = stored.status_ == ReadStatus::kAbsent;
  const ExitCode code =
      is_absent ? ExitCode::kDone : CheckStoredConfiguration(stored, io);
  if (code != ExitCode::kDone) {
    return code;
  }
  const std::string diff = DiffDocuments(stored.configuration_, *document);
  if (IsJson(options)) {
    const json line = {{"version", stored.configuration_.version_},
                       {"diff", SplitLines(diff)}};
    *io.out_ << line.dump() << '\n';
  } else {
    *io.out_ << diff;
  }
  return ExitCode::kDone;
}

}  // namespace

void AddDiffCommand(CLI::App& app, CommandIo io) {
  CLI::App* command = app.add_subcommand(
      "diff", "Show how a file differs from the stored configuration");
  const auto options = AddOperatorOptions(*command);
  const auto path = std::make_shared<std::string>();
  command->add_option("file", *path, "Configuration document, JSON")
      ->required();
  command->callback(
      [options, path, io] { ReturnExitCode(RunDiff(*options, *path, io)); });
}

}  // namespace clementinerill
