#include "platform/platform_client.h"

#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/platform_fixture.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

const Fault kDown{FaultMode::kDown, milliseconds(0), false, 0};
const Fault kDownClosing{FaultMode::kDown, milliseconds(0), true, 0};

// Guards against a client that sends a wrong write condition or reports a wrong
// version.
TEST_CASE("conditional writes require the expected version", "[platform]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  CHECK(client.Get("config/main", In(milliseconds(500))).status_ ==
        ReadStatus::kAbsent);
  const auto put = [&](const char* id, std::optional<uint64_t> version) {
    return client.Put("config/main", Value(id), version, In(milliseconds(500)));
  };
  CHECK(put("a", 0).status_ == WriteStatus::kAccepted);
  const WriteOutcome second_create = put("b", 0);
  CHECK(second_create.status_ == WriteStatus::kConflict);
  CHECK(second_create.version_ == 1);
  CHECK(put("c", 1).version_ == 2);
  const WriteOutcome stale = put("d", 1);
  CHECK(stale.status_ == WriteStatus::kConflict);
  CHECK(stale.version_ == 2);
  CHECK(put("e", std::nullopt).version_ == 3);
  const ReadOutcome read = client.Get("config/main", In(milliseconds(500)));
  CHECK(read.object_.version_ == 3);
  CHECK(ChangeIdOf(read.object_.value_) == "e");
}

// Guards against a rejected token that is retried or reported as an outage.
TEST_CASE("a wrong token ends as rejected", "[platform]") {
  FakePlatformServer server(0, "right");
  PlatformSettings settings;
  settings.port_ = server.Port();
  settings.token_ = "wrong";
  PlatformClient wrong(settings);
  CHECK(wrong.Get("k", In(milliseconds(500))).status_ == ReadStatus::kRejected);
  CHECK(wrong.Put("k", "{}", 0, In(milliseconds(500))).status_ ==
        WriteStatus::kRejected);
  settings.token_ = "right";
  PlatformClient right(settings);
  CHECK(right.Get("k", In(milliseconds(500))).status_ == ReadStatus::kAbsent);
}

// Guards against calls that exceed their deadline during an outage, and against
// an outage that is reported as an absent object.
TEST_CASE("calls to a store that is down end as unavailable",
          "[platform][fault]") {
  PlatformFixture fixture;
  fixture.SetFault(GENERATE(kDown, kDownClosing));
  PlatformClient client(fixture.settings_);
  const Instant start = std::chrono::steady_clock::now();
  CHECK(client.Get("k", In(milliseconds(300))).status_ ==
        ReadStatus::kUnavailable);
  CHECK_FALSE(client.ListVms(In(milliseconds(300))));
  CHECK(client.Watch("k", 0, milliseconds(100)).status_ ==
        ReadStatus::kUnavailable);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1500));
}

// Guards against a write that may have taken effect but is reported as
// unavailable, which means not written.
TEST_CASE("a write during an outage is reported as not written or unknown",
          "[platform][fault]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  SECTION("rejected with HTTP 503: not written") {
    fixture.SetFault(kDown);
    CHECK(client.Put("k", Value("a"), 0, In(milliseconds(200))).status_ ==
          WriteStatus::kUnavailable);
  }
  SECTION("connection closed after the request was sent: unknown") {
    fixture.SetFault(kDownClosing);
    CHECK(client.Put("k", Value("a"), 0, In(milliseconds(200))).status_ ==
          WriteStatus::kUnknown);
  }
  SECTION("connection refused: not written") {
    PlatformSettings settings = fixture.settings_;
    {
      FakePlatformServer stopped;
      settings.port_ = stopped.Port();
    }
    PlatformClient refused(settings);
    CHECK(refused.Put("k", Value("a"), 0, In(milliseconds(200))).status_ ==
          WriteStatus::kUnavailable);
  }
}

// Guards against a client that gives up although the store recovers before the
// deadline.
TEST_CASE("a write succeeds when the store recovers before the deadline",
          "[platform][fault]") {
  PlatformFixture fixture;
  fixture.SetFault(
      {FaultMode::kDown, milliseconds(0), GENERATE(false, true), 3});
  PlatformClient client(fixture.settings_);
  CHECK(client.Put("k", Value("a"), 0, In(milliseconds(3000))).status_ ==
        WriteStatus::kAccepted);
}

// Guards against waiting for a slow store beyond the deadline.
TEST_CASE("a write to a slow store ends by its deadline", "[platform][fault]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  fixture.SetFault({FaultMode::kSlow, milliseconds(100), false, 0});
  CHECK(client.Put("k", Value("a"), 0, In(milliseconds(1000))).status_ ==
        WriteStatus::kAccepted);
  fixture.SetFault({FaultMode::kSlow, milliseconds(700), false, 0});
  const Instant start = std::chrono::steady_clock::now();
  CHECK(client.Put("k", Value("b"), 1, In(milliseconds(400))).status_ ==
        WriteStatus::kUnknown);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(700));
}

// Guards against a write whose response was lost and that is reported as a
// conflict with itself or applied twice.
TEST_CASE("a lost response is resolved by reading back", "[platform][fault]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  fixture.SetFault({FaultMode::kLoseAnswers, milliseconds(0), false, 0});
  const auto created = client.Put("k", Value("a"), 0, In(milliseconds(1000)));
  CHECK(created.status_ == WriteStatus::kAccepted);
  CHECK(created.version_ == 1);
  const auto changed = client.Put("k", Value("b"), 1, In(milliseconds(1000)));
  CHECK(changed.status_ == WriteStatus::kAccepted);
  CHECK(changed.version_ == 2);
  CHECK(fixture.Counts().puts_ == 2);
}

// Guards against a conflict whose response was lost and that is reported as
// accepted, or as not written although the client can't know that.
TEST_CASE(
    "a conflict with a lost response ends as unknown with the stored version",
    "[platform][fault]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  REQUIRE(client.Put("k", Value("a"), 0, In(milliseconds(500))).version_ == 1);
  REQUIRE(client.Put("k", Value("b"), 1, In(milliseconds(500))).version_ == 2);
  fixture.SetFault({FaultMode::kLoseAnswers, milliseconds(0), false, 1});
  const auto lost = client.Put("k", Value("c"), 1, In(milliseconds(500)));
  CHECK(lost.status_ == WriteStatus::kUnknown);
  CHECK(lost.version_ == 2);
}

// Guards against watches that miss a change or ignore an outage.
TEST_CASE("a watch ends on a change, an outage, a timeout or a stop",
          "[platform]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  PlatformClient writer(fixture.settings_);
  REQUIRE(writer.Put("k", Value("a"), 0, In(milliseconds(500))).version_ == 1);
  SECTION("ends as unchanged after its wait time") {
    CHECK(client.Watch("k", 1, milliseconds(50)).status_ ==
          ReadStatus::kUnchanged);
    CHECK(fixture.Counts().watches_ == 1);
  }
  SECTION("returns a change made while it waits") {
    std::thread change([&writer] {
      std::this_thread::sleep_for(milliseconds(50));
      (void)writer.Put("k", Value("b"), 1, In(milliseconds(500)));
    });
    const auto seen = client.Watch("k", 1, milliseconds(3000));
    change.join();
    CHECK(seen.object_.version_ == 2);
  }
  SECTION("ends as unavailable when the store goes down") {
    std::thread outage([&fixture] {
      std::this_thread::sleep_for(milliseconds(50));
      fixture.SetFault(kDown);
    });
    CHECK(client.Watch("k", 1, milliseconds(3000)).status_ ==
          ReadStatus::kUnavailable);
    outage.join();
  }
  SECTION("ends as unavailable when the client is stopped") {
    std::thread stop([&client] {
      std::this_thread::sleep_for(milliseconds(50));
      client.Stop();
    });
    const Instant start = std::chrono::steady_clock::now();
    CHECK(client.Watch("k", 1, milliseconds(3000)).status_ ==
          ReadStatus::kUnavailable);
    CHECK(std::chrono::steady_clock::now() - start < milliseconds(2000));
    stop.join();
  }
}

// Guards against two writers that are both told that their write of the same
// version was accepted, and against increments that are lost or applied twice.
TEST_CASE("concurrent writers with lost responses lose no increment",
          "[platform][fault]") {
  PlatformFixture fixture;
  PlatformClient setup(fixture.settings_);
  REQUIRE(setup.Put("k", Value("start"), 0, In(milliseconds(500))).version_);
  fixture.SetFault({FaultMode::kLoseAnswers, milliseconds(0), false, 40});
  std::atomic<int> accepted{0};
  std::atomic<int> unknown{0};
  const auto write = [&](int writer) {
    PlatformClient client(fixture.settings_);
    for (int i = 0; i < 15; ++i) {
      const auto read = client.Get("k", In(milliseconds(2000)));
      const auto count =
          nlohmann::json::parse(read.object_.value_).at("count").get<int>();
      const std::string id = std::to_string(writer) + "-" + std::to_string(i);
      const auto outcome =
          client.Put("k", Value(id, count + 1), read.object_.version_,
                     In(milliseconds(2000)));
      accepted += outcome.status_ == WriteStatus::kAccepted;
      unknown += outcome.status_ == WriteStatus::kUnknown;
    }
  };
  std::vector<std::thread> writers;
  for (int writer = 0; writer < 4; ++writer) {
    writers.emplace_back(write, writer);
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  const auto last = setup.Get("k", In(milliseconds(500)));
  const auto count =
      nlohmann::json::parse(last.object_.value_).at("count").get<int>();
  CHECK(accepted >= 1);
  CHECK(count >= accepted);
  CHECK(count <= accepted + unknown);
}

// Guards against a number of retries that grows with the number of callers
// while the store is down.
TEST_CASE("concurrent callers share one retry budget", "[platform][fault]") {
  PlatformFixture fixture;
  fixture.SetFault(kDown);
  fixture.settings_.retry_budget_.tokens_ = 5;
  fixture.settings_.retry_budget_.capacity_ = 5;
  PlatformClient client(fixture.settings_);
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back(
        [&client] { (void)client.Get("k", In(milliseconds(1000))); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  // 8 first attempts, 5 initial tokens and 2 tokens refilled within 1 s.
  CHECK(fixture.Counts().calls_ <= 16);
}

// Guards against a parser that drops VM entries or accepts malformed ones.
TEST_CASE("the VM list is read and invalid entries are rejected",
          "[platform]") {
  PlatformFixture fixture;
  PlatformClient client(fixture.settings_);
  LaggingList& vms = fixture.server_.State().Vms();
  vms.Set(R"([{"name": "vm-1", "address": "127.0.0.1", "extra": 1},
              {"name": "vm-2", "address": "127.0.0.2",
               "failure_domain": "fd-b", "state": "leaving"}])",
          std::chrono::steady_clock::now());
  const auto list = client.ListVms(In(milliseconds(500)));
  REQUIRE(list);
  REQUIRE(list->size() == 2);
  CHECK((*list)[0].state_ == VmState::kLive);
  CHECK((*list)[1].state_ == VmState::kLeaving);
  CHECK((*list)[1].failure_domain_ == "fd-b");
  const auto wrong = ParseVmList(
      R"([{"name": "a", "address": "b"}, {"name": "c", "address": "d",
           "state": "gone"}])");
  REQUIRE_FALSE(wrong);
  CHECK(Format(wrong.error()) == "/1: state 'gone' is not live or leaving");
}

}  // namespace
}  // namespace clementinerill
