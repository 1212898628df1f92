#include "settings/settings_yaml.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

constexpr const char* kToken = "s3cret-s3cret-s3cret";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string WithInlineToken() {
  return Replaced(ExampleSettingsText(),
                  "admin_token_file: /etc/clementinerill/admin_token",
                  std::string("admin_token: ") + kToken);
}

std::vector<std::string> ErrorsOf(const std::string& text) {
  std::vector<std::string> lines;
  const auto result = ParseSettings(text, "s.yaml");
  if (!result) {
    for (const Error& error : result.error()) {
      lines.push_back(Format(error));
    }
  }
  return lines;
}

using Lines = std::vector<std::string>;

// Guards against a documented example that daemons reject, and against defaults
// that differ from the documented ones.
TEST_CASE("the example is valid and shows the defaults", "[settings]") {
  const auto full = ParseSettings(ExampleSettingsText(), "s.yaml");
  REQUIRE(full);
  CHECK(full->peers_.size() == 2);
  CHECK(full->admin_token_file_ == "/etc/clementinerill/admin_token");
  const std::string text = ExampleSettingsText();
  const auto shortened =
      ParseSettings(text.substr(0, text.find("balancer_delay")), "s.yaml");
  REQUIRE(shortened);
  CHECK(ToYamlText(*shortened) == ToYamlText(*full));
  CHECK(shortened->balancer_delay_ == std::chrono::seconds(3));
}

// Guards against output that omits or changes a setting.
TEST_CASE("settings round-trip through YAML", "[settings]") {
  const auto first = ParseSettings(
      Replaced(Replaced(ExampleSettingsText(), "3s", "250ms"), "64KiB", "3MiB"),
      "s.yaml");
  REQUIRE(first);
  const auto second = ParseSettings(ToYamlText(*first), "t.yaml");
  REQUIRE(second);
  CHECK(ToYamlText(*first) == ToYamlText(*second));
  CHECK(second->balancer_delay_ == std::chrono::milliseconds(250));
  CHECK(second->max_request_bytes_ == 3 * 1024 * 1024);
  CHECK(second->peers_[1].endpoint_ == Endpoint{"10.0.2.11", 8082});
}

// Guards against parsing that stops at the first error, and against wrong
// positions.
TEST_CASE("all errors are reported in one pass with positions", "[settings]") {
  const std::string text =
      "name: entry-1\n"
      "caller_listen: localhost:80\n"
      "admin_listen: 127.0.0.1:0\n"
      "peer_listen: 0.0.0.0:8082\n"
      "platform: 10.0.0.2:7000\n"
      "admin_token: [a]\n"
      "peers: [{name: e, adress: '10.0.0.1:1'}]\n"
      "balancer_delay: 3\n"
      "exchange_threads: 0\n"
      "balancer_dely: 3s\n"
      "max_request_bytes: 1B\n"
      "log_level: loud\n"
      "name: entry-2\n";
  const std::string endpoint =
      "must be an IP address and a port from 1 to 65535, such as "
      "10.0.0.1:8080 or [fd00::1]:8080";
  const std::string remote =
      "must be the IP address of one VM, not a wildcard address";
  const std::string single = "must be a scalar, not a list, a mapping or null";
  const std::string duration =
      "must be a whole number with the unit us, ms, s or min, such as 250ms";
  const std::string threads = "must be a whole number from 1 to 4096";
  const std::string size = "must be a size from 1KiB to 16MiB";
  const std::string unknown = "is not a known key; the nearest is";
  CHECK(ErrorsOf(text) ==
        Lines{"s.yaml:1:1: 'failure_domain' is required",
              "s.yaml:2:16: 'caller_listen' " + endpoint,
              "s.yaml:3:15: 'admin_listen' " + endpoint,
              "s.yaml:4:14: 'peer_listen' " + remote,
              "s.yaml:6:14: 'admin_token' " + single,
              "s.yaml:7:9: 'address' is required",
              "s.yaml:7:19: 'adress' " + unknown + " 'address'",
              "s.yaml:8:17: 'balancer_delay' " + duration,
              "s.yaml:9:19: 'exchange_threads' " + threads,
              "s.yaml:10:1: 'balancer_dely' " + unknown + " 'balancer_delay'",
              "s.yaml:11:20: 'max_request_bytes' " + size,
              "s.yaml:12:12: 'log_level' must be debug, info, warning or error",
              "s.yaml:13:1: 'name' is a duplicate key"});
}

// Guards against a token that reaches the logs through output or errors.
TEST_CASE("the token is never printed", "[settings]") {
  const auto settings = ParseSettings(WithInlineToken(), "s.yaml");
  REQUIRE(settings);
  CHECK(settings->admin_token_.Reveal() == kToken);
  CHECK(ToYamlText(*settings).find("s3cret") == std::string::npos);
  CHECK(ToYamlText(*settings).find("admin_token: \"********\"") !=
        std::string::npos);
  for (const char* value : {"s3cret", "*s3cret", "'s3cret", "{s3cret: 1}"}) {
    const auto lines = ErrorsOf(Replaced(WithInlineToken(), kToken, value));
    REQUIRE_FALSE(lines.empty());
    for (const std::string& line : lines) {
      CHECK(line.find("s3cret") == std::string::npos);
    }
  }
}

// Guards against a yaml-cpp message that contains a part of the token.
TEST_CASE("a syntax error does not contain text of the document",
          "[settings]") {
  const auto lines =
      ErrorsOf(Replaced(WithInlineToken(), kToken, "\"s3\\cret\""));
  REQUIRE(lines.size() == 1);
  CHECK_THAT(lines[0], Catch::EndsWith(": unknown escape character"));
}

// Guards against an admin server without a token, which would accept every
// operator, and against two sources of the token.
TEST_CASE("exactly one source of the token is required", "[settings]") {
  CHECK(ErrorsOf(WithInlineToken() + "admin_token_file: /t\n") ==
        Lines{"s.yaml:8:14: 'admin_token' and 'admin_token_file' are mutually "
              "exclusive"});
  CHECK(ErrorsOf(Replaced(WithInlineToken(),
                          std::string("admin_token: ") + kToken + "\n", "")) ==
        Lines{"s.yaml:1:1: 'admin_token' or 'admin_token_file' is required"});
}

// Guards against conflicting listeners that are only detected when the daemon
// binds them.
TEST_CASE("listeners must not conflict", "[settings]") {
  CHECK(ErrorsOf(Replaced(ExampleSettingsText(), "127.0.0.1:8081",
                          "0.0.0.0:8080")) ==
        Lines{"s.yaml:4:15: 'admin_listen' must differ from 'caller_listen'"});
}

// Guards against exceptions and against silently ignored input.
TEST_CASE("malformed documents are errors", "[settings]") {
  CHECK(ErrorsOf("name: a\nplatform: b: c\n") ==
        Lines{"s.yaml:2:12: must be valid YAML: illegal map value"});
  CHECK(ErrorsOf("") == Lines{"s.yaml:1:1: must be one YAML document"});
  CHECK(ErrorsOf("a: 1\n---\nb: 2\n") ==
        Lines{"s.yaml:1:1: must be one YAML document"});
  // YAML::LoadAll never returns for this text.
  CHECK(ErrorsOf("a: 1\n---\n, b: 2\n") ==
        Lines{"s.yaml:1:1: must be one YAML document"});
  CHECK(ErrorsOf(", a: 1") == Lines{"s.yaml:1:1: must be one YAML document"});
  CHECK(ErrorsOf("- a") ==
        Lines{"s.yaml:1:1: must be a mapping of keys to values"});
}

}  // namespace
}  // namespace clementinerill
