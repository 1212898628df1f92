#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>

#include <Poco/Exception.h>
#include <CLI/CLI.hpp>

#include "fakes/platform/fake_platform_server.h"

namespace {

// Blocks SIGINT and SIGTERM. Must be called before any thread starts: threads
// inherit the mask, so that only `sigwait` receives the signals.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Fake platform with an object store and a VM list");
  uint16_t port = 0;
  std::string token;
  int lag_ms = 0;
  app.add_option("--port", port,
                 "TCP port on 127.0.0.1; 0 selects a free port");
  app.add_option("--token", token, "Bearer token required from callers");
  app.add_option("--vm-lag-ms", lag_ms,
                 "Delay in milliseconds before VM list updates become visible");
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = BlockStopSignals();
  try {
    clementinerill::FakePlatformServer server(port, token);
    server.State().Vms().SetLag(std::chrono::milliseconds(lag_ms));
    std::cout << "listening " << server.Port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
  } catch (const Poco::Exception& error) {
    std::cerr << "fake_platform: " << error.displayText() << '\n';
    return 1;
  }
  return 0;
}
