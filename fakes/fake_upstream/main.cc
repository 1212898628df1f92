#include <csignal>

#include <iostream>

#include <CLI/CLI.hpp>

#include "fakes/fake_upstream/upstream_server.h"

namespace {

using clementinerill::UpstreamOptions;
using clementinerill::UpstreamServer;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for one upstream");
  UpstreamOptions options;
  app.add_option("--port", options.port_, "Port, 0 for any");
  app.add_option("--slots", options.slots_, "Requests run at once");
  app.add_option("--connections", options.connections_,
                 "Connections accepted at once");
  app.add_option("--connect-ms", options.connect_ms_,
                 "Cost of a new connection");
  app.add_option("--service-ms", options.service_ms_,
                 "Mean time to run a request");
  app.add_option("--partition", options.partition_, "Partition served");
  app.add_option("--partitions", options.partitions_, "Number of partitions");
  app.add_option("--offers", options.offers_, "Snapshots, such as 1@1,2@1");
  CLI11_PARSE(app, argc, argv);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  UpstreamServer server(options);
  std::cout << "listening " << server.Port() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}
