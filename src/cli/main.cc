#include <csignal>

#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "daemon/daemon.h"

namespace {

using clementinerill::Daemon;
using clementinerill::DaemonOptions;

constexpr int kExitUsage = 1;

// Blocks until SIGTERM or SIGINT, which must be blocked in every thread.
void WaitForStopSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

int Serve(const DaemonOptions& options) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Daemon daemon(options);
  const auto port = daemon.Start();
  if (!port) {
    std::cerr << "serve: " << Format(port.error()) << "\n";
    return kExitUsage;
  }
  std::cout << "listening " << *port << " admin " << daemon.AdminPort()
            << std::endl;
  WaitForStopSignal(signals);
  daemon.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A query tier over many shards");
  app.require_subcommand(1);
  DaemonOptions options;
  int balancer_delay_ms = 3000;
  CLI::App* serve = app.add_subcommand("serve", "Run one daemon");
  serve->add_option("--name", options.name_, "Name of this daemon")->required();
  serve->add_option("--port", options.caller_.port_, "Port for callers");
  serve->add_option("--platform-port", options.cluster_.platform_.port_,
                    "Port of the platform");
  serve->add_option("--peer-port", options.cluster_.peer_port_,
                    "Port for other daemons");
  std::vector<std::string> peers;
  serve->add_option("--peer", peers, "Name and port of each daemon, name:port");
  serve->add_option("--balancer-delay-ms", balancer_delay_ms,
                    "Time between not ready and the end of service");
  CLI11_PARSE(app, argc, argv);
  options.cluster_.name_ = options.name_;
  options.cluster_.incarnation_ = std::random_device()() | 1U;
  for (const std::string& peer : peers) {
    const size_t colon = peer.rfind(':');
    clementinerill::Member member;
    member.name_ = peer.substr(0, colon);
    member.address_ = "127.0.0.1";
    member.port_ = static_cast<uint16_t>(std::stoi(peer.substr(colon + 1)));
    if (member.name_ != options.name_) {
      options.cluster_.static_peers_.push_back(member);
    }
  }
  options.balancer_delay_ = std::chrono::milliseconds(balancer_delay_ms);
  return Serve(options);
}
