#include "cli/watch_command.h"

#include <chrono>
#include <memory>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "admin/document_diff.h"
#include "admin/stored_configuration.h"
#include "cli/check_stored_configuration.h"
#include "cli/operator_options.h"
#include "cli/return_exit_code.h"
#include "platform/platform_client.h"

namespace clementinerill {
namespace {

using nlohmann::json;

/// State of the command between two watch requests.
struct WatchState {
  std::optional<Configuration> printed_;  ///< Last configuration printed.
  uint64_t seen_version_ = 0;             ///< Last version read, valid or not.
  int count_ = 0;                         ///< Number of configurations printed.
  int failures_ = 0;                      ///< Consecutive failed requests.
};

void PrintConfiguration(const OperatorOptions& options,
                        const std::optional<Configuration>& before,
                        const Configuration& current,
                        CommandIo io) {
  if (IsJson(options)) {
    const json line = {{"version", current.version_},
                       {"change_id", current.change_id_}};
    *io.out_ << line.dump() << std::endl;
    return;
  }
  *io.out_ << "version " << current.version_ << " change " << current.change_id_
           << '\n';
  if (before) {
    *io.out_ << DiffDocuments(*before, current);
  }
  *io.out_ << std::flush;
}

void HandleReadResult(const OperatorOptions& options,
                      const StoredConfiguration& stored,
                      WatchState& state,
                      CommandIo io) {
  if (stored.status_ == ReadStatus::kUnavailable ||
      stored.status_ == ReadStatus::kRejected) {
    ++state.failures_;
    if (state.failures_ == 1) {
      (void)CheckStoredConfiguration(stored, io);
    }
    return;
  }
  state.failures_ = 0;
  if (stored.status_ != ReadStatus::kFound) {
    return;
  }
  state.seen_version_ = stored.configuration_.version_;
  if (CheckStoredConfiguration(stored, io) == ExitCode::kDone) {
    PrintConfiguration(options, state.printed_, stored.configuration_, io);
    state.printed_ = stored.configuration_;
    ++state.count_;
  }
}

ExitCode RunWatch(const OperatorOptions& options, int count, CommandIo io) {
  constexpr std::chrono::milliseconds kWatchTimeout{30'000};
  PlatformClient client(ToPlatformSettings(options));
  StoredConfiguration stored =
      ReadStoredConfiguration(client, DeadlineOf(options));
  if (stored.status_ == ReadStatus::kUnavailable ||
      stored.status_ == ReadStatus::kRejected) {
    return CheckStoredConfiguration(stored, io);
  }
  WatchState state;
  HandleReadResult(options, stored, state, io);
  while (count == 0 || state.count_ < count) {
    std::this_thread::sleep_for(client.DelayAfter(state.failures_));
    stored = ParseStoredConfiguration(
        client.Watch(kConfigurationKey, state.seen_version_, kWatchTimeout));
    HandleReadResult(options, stored, state, io);
  }
  return ExitCode::kDone;
}

}  // namespace

void AddWatchCommand(CLI::App& app, CommandIo io) {
  CLI::App* command =
      app.add_subcommand("watch", "Print each new configuration");
  const auto options = AddOperatorOptions(*command);
  const auto count = std::make_shared<int>(0);
  command
      ->add_option(
          "--count", *count,
          "Number of versions to print before exiting; 0 means no limit")
      ->check(CLI::NonNegativeNumber);
  command->callback(
      [options, count, io] { ReturnExitCode(RunWatch(*options, *count, io)); });
}

}  // namespace clementinerill
