#include "cli/operator_commands.h"

#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cli/cli_fixture.h"
#include "control/fleet_status.h"

namespace clementinerill {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Guards against usage errors with an exit code that has another meaning.
TEST_CASE("usage errors return 1", "[cli]") {
  CliFixture fixture;
  CHECK(fixture.Run({"label", "u0", "nonsense"}).code_ == 1);
  CHECK(fixture.Run({"failure-domain", "sideways", "fd"}).code_ == 1);
  CHECK(fixture.Run({"get", "--output", "xml"}).code_ == 1);
  CHECK(fixture.Run({"apply", "/nonexistent.json"}).code_ == 1);
  CHECK(fixture.Run({"get", "--platform", "nowhere"}).code_ == 1);
  CHECK(fixture.Run({"get", "--help"}).code_ == 0);
}

// Guards against `get` and `apply` altering the document, and against an edited
// file that silently overwrites a newer version.
TEST_CASE("get, edit, diff and apply", "[cli]") {
  CliFixture fixture;
  CHECK(fixture.Run({"get"}).code_ == 1);
  CHECK(fixture.Run({"get"}).err_ == "absent: there is no configuration yet\n");
  fixture.WriteFile(kTestDocument);
  const CommandResult first = fixture.Run({"apply", fixture.file_});
  CHECK(first.code_ == 0);
  CHECK(first.out_ == "accepted version 1\n");
  json document = json::parse(fixture.Run({"get"}).out_);
  CHECK(document.at("version") == 1);
  document["pools"][0]["slots"] = 5;
  fixture.WriteFile(document.dump());
  const std::string diff = "-/pools/p/slots: 1\n+/pools/p/slots: 5\n";
  CHECK(fixture.Run({"diff", fixture.file_}).out_ ==
        "--- version 1\n+++ version 1\n" + diff);
  REQUIRE(fixture.Run({"label", "u0", "app=x"}).code_ == 0);
  const CommandResult stale = fixture.Run({"apply", fixture.file_});
  CHECK(stale.code_ == 2);
  CHECK(stale.err_ ==
        "conflict: the configuration has version 2, but the change was made "
        "for version 1\n");
  const CommandResult stale_json =
      fixture.Run({"apply", fixture.file_, "--output", "json"});
  CHECK(stale_json.code_ == 2);
  CHECK(json::parse(stale_json.out_).at("version") == 2);
}

// Guards against an invalid document reaching the store, and against reporting
// only the first of several errors.
TEST_CASE("an invalid file is not applied", "[cli]") {
  CliFixture fixture;
  fixture.WriteFile(R"({"pools": [{"name": "p", "slots": 0, "x": 1}]})");
  const CommandResult result = fixture.Run({"apply", fixture.file_});
  CHECK(result.code_ == 1);
  CHECK(result.err_ == fixture.file_ +
                           ": /pools/0/slots: must be a whole number from 1 to "
                           "10000\n" +
                           fixture.file_ +
                           ": /pools/0/x: is not a known key\n");
  CHECK(fixture.Counts().puts_ == 0);
}

// Guards against commands that change the wrong part of the document.
TEST_CASE("label and failure-domain", "[cli]") {
  CliFixture fixture;
  fixture.Store();
  CHECK(fixture.Run({"label", "u0", "app=x", "tier=y"}).code_ == 0);
  CHECK(fixture.Run({"label", "u0", "app="}).code_ == 0);
  CHECK(fixture.Run({"label", "u9", "app=x"}).code_ == 1);
  CHECK(fixture.Run({"failure-domain", "out", "fd"}).code_ == 0);
  const CommandResult again = fixture.Run({"failure-domain", "out", "fd"});
  CHECK(again.code_ == 0);
  CHECK(again.out_ == "unchanged version 4\n");
  const json stored = json::parse(fixture.Run({"get"}).out_);
  CHECK(stored.at("services")[0].at("upstreams")[0].at("labels") ==
        json({{"tier", "y"}}));
  CHECK(stored.at("failure_domains")[0].at("in_service") == false);
  CHECK(stored.at("failure_domains")[0].at("generation") == 1);
}

// Guards against an outage that is reported as success or as invalid input.
TEST_CASE("exit codes during faults", "[cli][fault]") {
  CliFixture fixture;
  fixture.Store();
  const std::vector<std::string> label = {"label", "u0", "app=x", "--timeout",
                                          "0.3"};
  SECTION("down") {
    fixture.SetFault({FaultMode::kDown, milliseconds(0), false, 0});
    CHECK(fixture.Run(label).code_ == 3);
    CHECK(fixture.Run({"get", "--timeout", "0.3"}).code_ == 3);
    CHECK(fixture.Run({"watch", "--timeout", "0.3"}).code_ == 3);
  }
  SECTION("a write without a response before the timeout") {
    fixture.SetFault({FaultMode::kSlow, milliseconds(1000), false, 0});
    CHECK(fixture.Run({"label", "u0", "app=x", "--timeout", "1.5"}).code_ == 4);
  }
  SECTION("lost responses") {
    fixture.SetFault({FaultMode::kLoseAnswers, milliseconds(0), false, 0});
    CHECK(fixture.Run(label).code_ == 0);
  }
}

// Guards against a wait that ends before all daemons apply the change, or that
// never ends.
TEST_CASE("waiting for a change", "[cli]") {
  CliFixture fixture;
  fixture.Store();
  const auto report = [&fixture](const FleetStatus& status) {
    const auto written =
        fixture.client_.Put(kFleetStatusKey, ToJsonText(status, MakeChangeId()),
                            std::nullopt, In(milliseconds(1000)));
    REQUIRE(written.status_ == WriteStatus::kAccepted);
  };
  const std::vector<std::string> label = {"label",  "u0",        "app=x",
                                          "--wait", "--timeout", "2"};
  SECTION("done") {
    report({{{"a", 1, 0, ""}, {"b", 1, 0, ""}}, {}});
    std::thread daemons([&report] {
      std::this_thread::sleep_for(milliseconds(200));
      report({{{"a", 3, 0, ""}, {"b", 1, 0, ""}}, {}});
      std::this_thread::sleep_for(milliseconds(200));
      report({{{"a", 3, 0, ""}, {"b", 3, 0, ""}}, {}});
    });
    const CommandResult result = fixture.Run(label);
    daemons.join();
    CHECK(result.code_ == 0);
    CHECK(result.out_ ==
          "accepted version 3\naccepted\nin force at 1 of 2\ndone\n");
    // One watch request per version of the status.
    CHECK(fixture.Counts().watches_ == 3);
  }
  SECTION("rolled back") {
    report({{{"a", 9, 0, ""}}, {{2, "other"}, {3, "errors rose"}}});
    const CommandResult result = fixture.Run(label);
    CHECK(result.code_ == 5);
    CHECK(result.out_ == "accepted version 3\nrolled back: errors rose\n");
  }
  SECTION("no daemon reports") {
    auto json_label = label;
    json_label.insert(json_label.end(), {"--output", "json"});
    const CommandResult result = fixture.Run(json_label);
    CHECK(result.code_ == 4);
    const json line = json::parse(result.out_);
    CHECK(line.at("result") == "accepted");
    CHECK(line.at("state") == "accepted");
    CHECK(line.at("reason") == "no daemon has reported");
  }
}

// Guards against a watch that misses versions or does not print the
// differences.
TEST_CASE("watch prints each version", "[cli]") {
  CliFixture fixture;
  fixture.Store();
  std::thread change([&fixture] {
    std::this_thread::sleep_for(milliseconds(200));
    (void)ApplyChange(fixture.client_, SetInServiceOperation("fd", false),
                      In(milliseconds(2000)));
  });
  const CommandResult result = fixture.Run({"watch", "--count", "2"});
  change.join();
  CHECK(result.code_ == 0);
  CHECK(result.out_.rfind("version 1 change \nversion 2 change ", 0) == 0);
  CHECK(result.out_.find("+/failure_domains/fd/in_service: false\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace clementinerill
