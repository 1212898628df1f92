#include "cli/operator_options.h"

#include <cstdlib>

namespace clementinerill {
namespace {

std::string ValidateAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  std::string error = "must be <host>:<port>, but is '" + text + "'";
  if (colon == std::string::npos || colon == 0) {
    return error;
  }
  const std::string port = text.substr(colon + 1);
  const bool is_number =
      !port.empty() && port.size() <= 5 &&
      port.find_first_not_of("0123456789") == std::string::npos;
  const long number = is_number ? std::strtol(port.c_str(), nullptr, 10) : 0;
  return number >= 1 && number <= 65'535 ? "" : error;
}

}  // namespace

std::shared_ptr<OperatorOptions> AddOperatorOptions(CLI::App& command) {
  auto options = std::make_shared<OperatorOptions>();
  command
      .add_option("--platform", options->platform_,
                  "Address of the platform, <host>:<port>")
      ->required()
      ->envname("CLEMENTINERILL_PLATFORM")
      ->check(ValidateAddress);
  command.add_option("--token", options->token_, "Token for the platform")
      ->envname("CLEMENTINERILL_TOKEN");
  command.add_option("--output", options->output_, "Output format")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  command
      .add_option("--timeout", options->timeout_seconds_,
                  "Time limit in seconds")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  return options;
}

void AddWaitOption(CLI::App& command, OperatorOptions& options) {
  command.add_flag("--wait", options.wait_,
                   "Wait until the change is in force on all daemons");
}

PlatformSettings ToPlatformSettings(const OperatorOptions& options) {
  const size_t colon = options.platform_.rfind(':');
  const std::string port = options.platform_.substr(colon + 1);
  PlatformSettings settings;
  settings.address_ = options.platform_.substr(0, colon);
  settings.port_ =
      static_cast<uint16_t>(std::strtoul(port.c_str(), nullptr, 10));
  settings.token_ = options.token_;
  return settings;
}

Instant DeadlineOf(const OperatorOptions& options) {
  const std::chrono::duration<double> timeout(options.timeout_seconds_);
  return std::chrono::steady_clock::now() +
         std::chrono::duration_cast<Duration>(timeout);
}

}  // namespace clementinerill
