#include "cli/serve_command.h"

#include <csignal>

#include <iostream>
#include <memory>
#include <string>

#include "cli/load_settings.h"
#include "cli/to_daemon_options.h"
#include "daemon/daemon.h"
#include "logging/log.h"
#include "logging/start_logging.h"

namespace clementinerill {
namespace {

struct ServeArguments {
  std::string path_;
  bool allow_ephemeral_port_ = false;
};

// Blocks the stop signals in this thread and in the threads that it starts
// later, so that only `sigwait` receives them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForStopSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

int RunDaemon(const DaemonOptions& options) {
  const sigset_t signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
  Daemon daemon(options);
  const auto port = daemon.Start();
  if (!port) {
    PrintErrors({port.error()});
    return 1;
  }
  std::cout << "listening " << *port << " admin " << daemon.AdminPort()
            << std::endl;
  Log(LogLevel::kInfo, "serve", "started",
      {{"name", options.name_},
       {"failure_domain", options.failure_domain_},
       {"version", CLEMENTINERILL_VERSION},
       {"caller_port", *port},
       {"admin_port", daemon.AdminPort()}});
  WaitForStopSignal(signals);
  Log(LogLevel::kInfo, "serve", "shutting down",
      {{"balancer_delay_ms", Duration(options.balancer_delay_)}});
  daemon.Stop();
  Log(LogLevel::kInfo, "serve", "stopped", {{"name", options.name_}});
  return 0;
}

int Serve(const ServeArguments& arguments) {
  const auto settings =
      LoadSettings(arguments.path_, arguments.allow_ephemeral_port_
                                        ? ListenPortPolicy::kAllowEphemeral
                                        : ListenPortPolicy::kFixed);
  if (!settings) {
    PrintErrors(settings.error());
    return 1;
  }
  const auto token = LoadAdminToken(*settings);
  if (!token) {
    PrintErrors({token.error()});
    return 1;
  }
  StartLogging(settings->log_level_);
  return RunDaemon(ToDaemonOptions(*settings, *token));
}

}  // namespace

void AddServeCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("serve", "Run one daemon");
  const auto arguments = std::make_shared<ServeArguments>();
  command->add_option("--settings", arguments->path_, "Settings file")
      ->required();
  command->add_flag("--any-port", arguments->allow_ephemeral_port_,
                    "Accept port 0 in listening endpoints");
  command->callback([arguments, &exit_code] { exit_code = Serve(*arguments); });
}

}  // namespace clementinerill
