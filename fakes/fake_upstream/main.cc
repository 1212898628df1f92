#include <csignal>

#include <iostream>

#include <CLI/CLI.hpp>

#include "fakes/fake_upstream/upstream_server.h"

namespace {

using clementinerill::UpstreamOptions;
using clementinerill::UpstreamServer;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Fake of one upstream");
  UpstreamOptions options;
  app.add_option("--port", options.port_,
                 "TCP port on 127.0.0.1; 0 selects a free port");
  app.add_option("--slots", options.slots_,
                 "Maximum number of requests executed concurrently");
  app.add_option("--connections", options.connections_,
                 "Maximum number of concurrent connections");
  app.add_option("--connect-ms", options.connect_ms_,
                 "Delay in milliseconds before a new connection is served");
  app.add_option("--service-ms", options.service_ms_,
                 "Mean service time in milliseconds");
  app.add_option("--partition", options.partition_,
                 "Index of the partition to serve");
  app.add_option("--partitions", options.partitions_, "Number of partitions");
  app.add_option("--offers", options.offers_,
                 "Index snapshots to offer, such as 1@1,2@1");
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
