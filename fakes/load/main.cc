#include <csignal>

#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

#include "fakes/load/caller.h"

namespace {

using clementinerill::Caller;
using clementinerill::LoadOptions;
using clementinerill::LoadResult;
using clementinerill::LoadSchedule;

LoadResult RunCallers(const LoadOptions& options) {
  LoadSchedule schedule;
  schedule.begin_ = std::chrono::steady_clock::now();
  schedule.end_ =
      schedule.begin_ +
      std::chrono::milliseconds(static_cast<int64_t>(options.seconds_ * 1000));
  std::mutex mutex;
  LoadResult total;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < static_cast<size_t>(options.callers_); ++i) {
    threads.emplace_back([&options, &schedule, &mutex, &total, i] {
      LoadResult result = Caller(options, schedule, i).Run();
      const std::lock_guard lock(mutex);
      Merge(total, std::move(result));
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return total;
}

void WriteRecords(const LoadOptions& options, const LoadResult& result) {
  if (options.record_.empty()) {
    return;
  }
  std::ofstream file(options.record_);
  for (const std::string& line : result.records_) {
    file << line << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends requests to daemons and verifies the responses");
  LoadOptions options;
  app.add_option("--port", options.ports_, "Ports of the daemons")->required();
  app.add_option("--route", options.route_, "Route");
  app.add_option("--callers", options.callers_, "Number of concurrent callers");
  app.add_option("--seconds", options.seconds_,
                 "Duration of the run in seconds");
  app.add_option("--rate", options.rate_,
                 "Total requests per second; 0 for no limit");
  app.add_option("--count", options.count_,
                 "Total number of requests; 0 for no limit");
  app.add_option("--deadline-ms", options.deadline_ms_, "Deadline");
  app.add_option("--prefix", options.prefix_,
                 "Prefix that makes the queries unique");
  app.add_option("--record", options.record_,
                 "Output file for queries and outcomes");
  app.add_flag("--direct", options.direct_,
               "Send requests to upstreams instead of daemons");
  app.add_flag("!--no-verify", options.verify_, "Do not verify the hits");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  LoadResult result = RunCallers(options);
  WriteRecords(options, result);
  std::cout << ToJsonText(result, options.seconds_) << std::endl;
  return 0;
}
