#ifndef CLEMENTINERILL_TESTS_CLI_CLI_FIXTURE_H_
#define CLEMENTINERILL_TESTS_CLI_CLI_FIXTURE_H_

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "admin/admin.h"
#include "cli/operator_commands.h"
#include "cli/run_command_line.h"
#include "platform/platform_fixture.h"

namespace clementinerill {

inline constexpr const char* kTestDocument = R"({
  "pools": [{"name": "p"}],
  "services": [{"name": "s", "pool": "p", "upstreams": [
    {"name": "u0", "address": "127.0.0.1", "port": 9000,
     "failure_domain": "fd"}]}],
  "failure_domains": [{"name": "fd"}]})";

/// @brief Exit code and output of a command.
struct CommandResult {
  int code_ = -1;
  std::string out_;
  std::string err_;
};

/// @brief Runs commands against a fake platform.
struct CliFixture : PlatformFixture {
  PlatformClient client_{settings_};
  std::string file_ =
      "/tmp/clementinerill_cli_test." + std::to_string(getpid()) + ".json";

  ~CliFixture() { std::remove(file_.c_str()); }

  /// Runs the command line `arguments` with the address of the fake platform
  /// appended.
  CommandResult Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "clementinerill");
    arguments.push_back("--platform");
    arguments.push_back("127.0.0.1:" + std::to_string(server_.Port()));
    std::vector<const char*> argv;
    for (const std::string& argument : arguments) {
      argv.push_back(argument.c_str());
    }
    CLI::App app;
    std::ostringstream out;
    std::ostringstream err;
    RegisterOperatorCommands(app, {&out, &err});
    CommandResult result;
    result.code_ = RunCommandLine(app, static_cast<int>(argv.size()),
                                  argv.data(), {&out, &err});
    result.out_ = out.str();
    result.err_ = err.str();
    return result;
  }

  void WriteFile(const std::string& text) { std::ofstream(file_) << text; }

  void Store(const std::string& document = kTestDocument) {
    REQUIRE(client_
                .Put(kConfigurationKey, document, std::nullopt,
                     In(std::chrono::milliseconds(1000)))
                .status_ == WriteStatus::kAccepted);
  }
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_CLI_CLI_FIXTURE_H_
