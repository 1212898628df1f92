#include "cli/watch_command.h"

#include <chrono>
#include <memory>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "admin/document_diff.h"
#include "admin/stored_configuration.h"
#include "cli/finish.h"
#include "cli/operator_options.h"
#include "cli/stored_report.h"
#include "platform/platform_client.h"

namespace clementinerill {
namespace {

using nlohmann::json;

/// What the command has seen so far.
struct Progress {
  std::optional<Configuration> printed_;  ///< The last one printed.
  uint64_t seen_version_ = 0;             ///< Includes invalid documents.
  int count_ = 0;                         ///< Configurations printed.
  int failures_ = 0;                      ///< Consecutive failed calls.
};

void Print(const OperatorOptions& options,
           const std::optional<Configuration>& before,
           const Configuration& now,
           CommandIo io) {
  if (IsJson(options)) {
    const json line = {{"version", now.version_},
                       {"change_id", now.change_id_}};
    *io.out_ << line.dump() << std::endl;
    return;
  }
  *io.out_ << "version " << now.version_ << " change " << now.change_id_
           << '\n';
  if (before) {
    *io.out_ << DiffDocuments(*before, now);
  }
  *io.out_ << std::flush;
}

void Handle(const OperatorOptions& options,
            const StoredConfiguration& stored,
            Progress& progress,
            CommandIo io) {
  if (stored.status_ == ReadStatus::kUnavailable ||
      stored.status_ == ReadStatus::kRejected) {
    ++progress.failures_;
    if (progress.failures_ == 1) {
      (void)CheckUsable(stored, io);
    }
    return;
  }
  progress.failures_ = 0;
  if (stored.status_ != ReadStatus::kFound) {
    return;
  }
  progress.seen_version_ = stored.configuration_.version_;
  if (CheckUsable(stored, io) == ExitCode::kDone) {
    Print(options, progress.printed_, stored.configuration_, io);
    progress.printed_ = stored.configuration_;
    ++progress.count_;
  }
}

ExitCode RunWatch(const OperatorOptions& options, int count, CommandIo io) {
  constexpr std::chrono::milliseconds kWatchTime{30'000};
  PlatformClient client(ToSettings(options));
  StoredConfiguration stored = ReadStored(client, DeadlineOf(options));
  if (stored.status_ == ReadStatus::kUnavailable ||
      stored.status_ == ReadStatus::kRejected) {
    return CheckUsable(stored, io);
  }
  Progress progress;
  Handle(options, stored, progress, io);
  while (count == 0 || progress.count_ < count) {
    std::this_thread::sleep_for(client.DelayAfter(progress.failures_));
    stored = ParseStored(
        client.Watch(kConfigurationKey, progress.seen_version_, kWatchTime));
    Handle(options, stored, progress, io);
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
      ->add_option("--count", *count,
                   "Versions to print before the end; 0 is no limit")
      ->check(CLI::NonNegativeNumber);
  command->callback(
      [options, count, io] { Finish(RunWatch(*options, *count, io)); });
}

}  // namespace clementinerill
