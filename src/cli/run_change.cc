#include "cli/run_change.h"

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "admin/apply_change.h"
#include "cli/wait_for_change.h"
#include "platform/platform_client.h"

namespace clementinerill {
namespace {

using nlohmann::json;

bool IsStored(const ChangeOutcome& outcome) noexcept {
  return outcome.result_ == ChangeResult::kAccepted ||
         outcome.result_ == ChangeResult::kUnchanged;
}

ExitCode ToExitCode(ChangeState state) noexcept {
  switch (state) {
    case ChangeState::kDone:
      return ExitCode::kDone;
    case ChangeState::kRolledBack:
      return ExitCode::kRolledBack;
    case ChangeState::kAccepted:
    case ChangeState::kInForce:
      break;
  }
  return ExitCode::kUnknown;
}

void PrintOutcome(const ChangeOutcome& outcome, CommandIo io) {
  const std::string result(NameOf(kChangeResultNames, outcome.result_));
  if (IsStored(outcome)) {
    *io.out_ << result << " version " << outcome.version_ << std::endl;
  } else {
    *io.err_ << result << ": " << outcome.reason_ << std::endl;
  }
}

void PrintJson(const ChangeOutcome& outcome,
               const std::optional<ChangeProgress>& progress,
               CommandIo io) {
  json line = {{"result", NameOf(kChangeResultNames, outcome.result_)},
               {"version", outcome.version_},
               {"change_id", outcome.change_id_},
               {"reason", outcome.reason_}};
  if (progress) {
    line["state"] = NameOf(kChangeStateNames, progress->state_);
    line["in_force"] = progress->in_force_;
    line["daemons"] = progress->daemons_;
    line["reason"] = progress->reason_;
  }
  *io.out_ << line.dump() << std::endl;
}

ChangeProgress WaitAndPrintProgress(PlatformClient& client,
                                    const OperatorOptions& options,
                                    const ChangeOutcome& outcome,
                                    Instant deadline,
                                    CommandIo io) {
  const Change change{outcome.version_, outcome.change_id_};
  return WaitForChange(client, change, deadline,
                       [&options, io](const ChangeProgress& progress) {
                         if (!IsJson(options)) {
                           *io.out_ << Describe(progress) << std::endl;
                         }
                       });
}

}  // namespace

ExitCode ToExitCode(ChangeResult result) noexcept {
  switch (result) {
    case ChangeResult::kAccepted:
    case ChangeResult::kUnchanged:
      return ExitCode::kDone;
    case ChangeResult::kInvalid:
    case ChangeResult::kRejected:
      return ExitCode::kInvalid;
    case ChangeResult::kConflict:
      return ExitCode::kConflict;
    case ChangeResult::kUnavailable:
      return ExitCode::kUnavailable;
    case ChangeResult::kUnknown:
      break;
  }
  return ExitCode::kUnknown;
}

ExitCode RunChange(const OperatorOptions& options,
                   const Operation& operation,
                   CommandIo io,
                   uint64_t required_version) {
  const Instant deadline = DeadlineOf(options);
  PlatformClient client(ToPlatformSettings(options));
  const ChangeOutcome outcome =
      ApplyChange(client, operation, deadline, required_version);
  if (!IsJson(options)) {
    PrintOutcome(outcome, io);
  }
  std::optional<ChangeProgress> progress;
  if (options.wait_ && IsStored(outcome)) {
    progress = WaitAndPrintProgress(client, options, outcome, deadline, io);
  }
  if (IsJson(options)) {
    PrintJson(outcome, progress, io);
  }
  return progress ? ToExitCode(progress->state_) : ToExitCode(outcome.result_);
}

}  // namespace clementinerill
