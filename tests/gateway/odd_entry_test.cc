#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

// Guards against the loss of a daemon, or of its copy of the store, to an entry
// that another writer left: nested too deeply, with a number out of range, or
// with a port out of range.

namespace clementinerill::gateway {
namespace {

std::string DeeplyNested() {
  constexpr size_t kDepth = 300000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

// An entry of a replica in which the value of one field is replaced.
std::string ReplicaText(const std::string& field, const std::string& value) {
  nlohmann::json entry = {{"service", "shard-a"},
                          {"address", "127.0.0.1:9"},
                          {"zone", "z1"},
                          {"version", "v1"},
                          {"slots", 4},
                          {"state", "ready"},
                          {"born", 1},
                          {"cold_remaining_ms", 0}};
  entry.erase(field);
  std::string text = entry.dump();
  text.pop_back();
  return text + R"(,")" + field + R"(":)" + value + "}";
}

struct OddEntry {
  std::string description_;
  std::string text_;
};

std::vector<OddEntry> OddEntries() {
  return {
      {"deeply nested", ReplicaText("service", DeeplyNested())},
      {"number that no double represents", ReplicaText("slots", "1e999")},
      {"slots beyond 32 bits", ReplicaText("slots", "4294967297")},
      {"slots beyond 64 bits", ReplicaText("slots", "18446744073709551615")},
      {"warm-up of 1e300 ms", ReplicaText("cold_remaining_ms", "1e300")},
      {"port above 65535", ReplicaText("address", "\"127.0.0.1:65536\"")},
      {"port of zero", ReplicaText("address", "\"127.0.0.1:0\"")},
      {"negative port", ReplicaText("address", "\"127.0.0.1:-1\"")},
      {"invalid UTF-8", ReplicaText("service", "\"\xff\xfe\"")},
      {"no JSON value", "tru"},
      {"array in place of an object", "[1,2]"}};
}

nlohmann::json Status(GatewayFixture& fixture, const Daemon& daemon) {
  return nlohmann::json::parse(
      fixture.Get(*daemon.options_.metrics_listen_, "", "/status").body_);
}

// Whether the daemon serves sweeps from both shards and follows further changes
// of the replicas and of the configuration.
void CheckFollowsChanges(GatewayFixture& fixture, const Daemon& daemon) {
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  const auto response = fixture.FanOut(daemon);
  CHECK(response.status_ == 200);
  CHECK(http::FindHeader(response.headers_, "X-Missing-Parts") == "0");
  fixture.store_.Put("servers", "late", fixture.replicas_[0]->Entry("late"));
  CHECK(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() == 4; }));
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(6));
  CHECK(fixture.RunUntil([&] { return fixture.AllUseVersion(6); }));
}

}  // namespace

TEST_CASE("an odd entry in the list leaves the other replicas in use",
          "[odd]") {
  for (const OddEntry& odd : OddEntries()) {
    DYNAMIC_SECTION(odd.description_) {
      GatewayFixture fixture;
      fixture.PutEverything();
      fixture.store_.PutText("servers", "b0-odd", odd.text_);
      const Daemon& daemon = fixture.Start(fixture.Options("d1"));
      CheckFollowsChanges(fixture, daemon);
    }
  }
}

TEST_CASE("an odd entry in an event leaves the other replicas in use",
          "[odd]") {
  for (const OddEntry& odd : OddEntries()) {
    DYNAMIC_SECTION(odd.description_) {
      GatewayFixture fixture;
      fixture.PutEverything();
      const Daemon& daemon = fixture.Start(fixture.Options("d1"));
      REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
      fixture.store_.PutText("servers", "b0-odd", odd.text_);
      CheckFollowsChanges(fixture, daemon);
    }
  }
}

TEST_CASE("odd entries of other kinds leave the daemon serving", "[odd]") {
  const std::vector<OddEntry> contents = {{"deeply nested", DeeplyNested()},
                                          {"number out of range", "1e999"},
                                          {"array", "[1]"},
                                          {"no JSON value", "tru"}};
  for (const char* kind :
       {"rollouts", "evacuations", "clementinerill-daemons"}) {
    for (const OddEntry& odd : contents) {
      DYNAMIC_SECTION(kind << ": " << odd.description_) {
        GatewayFixture fixture;
        fixture.PutEverything();
        fixture.store_.PutText(kind, "odd", odd.text_);
        const Daemon& daemon = fixture.Start(fixture.Options("d1"));
        REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
        fixture.store_.PutText(kind, "odd-2", odd.text_);
        // The kind is followed further, and so are the others.
        fixture.store_.Put("evacuations", "z9", nlohmann::json::object());
        fixture.store_.Put("rollouts", "late", {{"target_version", "v2"}});
        CHECK(fixture.RunUntil([&] {
          const auto status = Status(fixture, daemon);
          return status["evacuated"].dump().find("z9") != std::string::npos &&
                 status["rollouts"].dump().find("late") != std::string::npos;
        }));
        CheckFollowsChanges(fixture, daemon);
      }
    }
  }
}

// Guards against a list that starts again from its beginning for ever, because
// the name at the end of a page cannot be read.
TEST_CASE("a list continues after an entry without a readable name", "[odd]") {
  GatewayFixture fixture;
  fixture.store_.page_size_ = 2;
  fixture.PutEverything();
  fixture.store_.Put("servers", "a2", fixture.replicas_[0]->Entry("shard-a"));
  fixture.store_.odd_metadata_["a2"] = "[]";
  const Daemon& daemon = fixture.Start(fixture.Options("d1"));
  CHECK(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() == 3; }));
  CHECK(fixture.store_.request_counts_["GET servers"] <= 6);
}

// Guards against a daemon that starts without replicas for as long as there is
// an entry that fills a page of the list and whose metadata cannot be read as a
// whole.
TEST_CASE("a list continues after a page of one odd entry", "[odd]") {
  const std::string name = "a2";
  const std::string finalizers =
      nlohmann::json(std::vector<std::string>(20000, "cleanup")).dump();
  const std::string deep = std::string(300, '[') + std::string(300, ']');
  struct Odd {
    std::string name_;
    std::string metadata_;
  };
  const auto odd = GENERATE_COPY(values<Odd>(
      {{name, R"({"finalizers":)" + finalizers + R"(,"name":"a2"})"},
       {name, R"({"name":"a2","finalizers":)" + deep + "}"},
       {name, R"({"name":"a2","rev":1e999})"},
       {"a2\xff", "{\"name\":\"a2\xff\",\"rev\":7}"}}));
  INFO(odd.metadata_.substr(0, 60));
  GatewayFixture fixture;
  fixture.store_.page_size_ = 1;
  fixture.PutEverything();
  fixture.store_.Put("servers", odd.name_, {{"slots", 3}});
  fixture.store_.odd_metadata_[odd.name_] = odd.metadata_;
  const Daemon& daemon = fixture.Start(fixture.Options("d1"));
  CHECK(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() == 3; }));
  CheckFollowsChanges(fixture, daemon);
}

// Guards against an entry that stays in use after it was replaced by one that
// cannot be used.
TEST_CASE("an entry whose metadata became odd is still found by its name",
          "[odd]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  fixture.store_.Put("servers", "a2", fixture.replicas_[0]->Entry("shard-a"));
  const Daemon& daemon = fixture.Start(fixture.Options("d1"));
  REQUIRE(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() == 4; }));
  fixture.store_.odd_metadata_["a2"] =
      R"({"name":"a2","finalizers":)" +
      nlohmann::json(std::vector<std::string>(20000, "cleanup")).dump() + "}";
  fixture.store_.Put("servers", "a2", {{"slots", 3}});
  CHECK(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() == 3; }));
  CHECK(Status(fixture, daemon)["unusable_objects"].dump().find(
            R"("name":"a2")") != std::string::npos);
}

// Guards against an entry that is left out in silence.
TEST_CASE("odd entries are counted and named on the status page", "[odd]") {
  GatewayFixture fixture;
  fixture.PutEverything();  // With one forged entry.
  fixture.store_.PutText("servers", "odd", ReplicaText("slots", "1e999"));
  const Daemon& daemon = fixture.Start(fixture.Options("d1"));
  CHECK(
      fixture.RunUntil([&] { return daemon.metrics_.unusable_.Value() == 2; }));
  CHECK(Status(fixture, daemon)["unusable_objects"].dump().find(
            R"("name":"odd","reason":"spec is not valid JSON)") !=
        std::string::npos);
  fixture.store_.Put("servers", "odd", fixture.replicas_[0]->Entry("shard-a"));
  CHECK(
      fixture.RunUntil([&] { return daemon.metrics_.unusable_.Value() == 1; }));
}

TEST_CASE("an odd configuration is refused whole and the old one kept",
          "[odd]") {
  const std::string valid = GatewayFixture::Configuration(6).dump();
  const std::vector<std::string> contents = {
      DeeplyNested(), R"({"version":6,"routes":)" + DeeplyNested() + "}",
      valid.substr(0, valid.size() - 1) + R"(,"limits":{"x":1e999}})",
      valid.substr(0, valid.size() - 1) +
          R"(,"limits":{"idle_timeout_ms":1e300}})",
      valid.substr(0, valid.size() - 1) +
          R"(,"limits":{"max_header_bytes":4294967297}})"};
  for (size_t i = 0; i < contents.size(); ++i) {
    DYNAMIC_SECTION("content " << i) {
      GatewayFixture fixture;
      fixture.PutEverything();
      const Daemon& daemon = fixture.Start(fixture.Options("d1"));
      REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
      fixture.store_.PutText("config", "main", contents[i]);
      fixture.RunFor(std::chrono::milliseconds(300));
      CHECK(daemon.metrics_.version_.Value() == 5);
      CHECK(fixture.FanOut(daemon).status_ == 200);
      fixture.store_.Put("config", "main", GatewayFixture::Configuration(7));
      CHECK(fixture.RunUntil([&] { return fixture.AllUseVersion(7); }));
    }
  }
}

}  // namespace clementinerill::gateway
