#include <set>

#include <catch2/catch.hpp>

#include "mirror/mirror.h"

namespace clementinerill::mirror {
namespace {

std::vector<DaemonRecord> Daemons(int count) {
  std::vector<DaemonRecord> daemons;
  for (int i = 0; i < count; ++i) {
    daemons.push_back({"vm-" + std::to_string(i), i % 2 == 0 ? "a" : "b",
                       "10.0.0.1", 7000, i < 6 ? 500 : 120});
  }
  return daemons;
}

// Guards against a fleet in which nobody, or everybody, follows the store.
TEST_CASE("two daemons of each failure domain follow the store", "[relay]") {
  const auto daemons = Daemons(40);
  std::map<std::string, int> watchers;
  for (const DaemonRecord& daemon : daemons) {
    const RelayPlan plan = PlanRelays(daemons, daemon.name_);
    if (plan.follows_store_) {
      ++watchers[daemon.failure_domain_];
      CHECK(daemon.capacity_ == 500);
    } else {
      CHECK(plan.relays_.size() == 2);
      CHECK(plan.relays_[0].failure_domain_ == daemon.failure_domain_);
    }
  }
  CHECK(watchers == std::map<std::string, int>{{"a", 2}, {"b", 2}});
}

// Guards against a daemon that waits for relays which it does not know.
TEST_CASE("an unregistered daemon follows the store", "[relay]") {
  CHECK(PlanRelays(Daemons(40), "new").follows_store_);
  CHECK(PlanRelays({}, "new").follows_store_);
}

TEST_CASE("relay messages survive their encoding", "[relay]") {
  RelayRequest request{std::chrono::milliseconds(480), {{"config", 12}}};
  const auto decoded = DecodeRelayRequest(Encode(request));
  REQUIRE(decoded);
  CHECK(decoded->wait_ == request.wait_);
  CHECK(decoded->revisions_ == request.revisions_);
  RelayReply reply;
  reply.kinds_["config"] = {{7, true, {{"main", {{"version", 3}}}}, {}},
                            std::chrono::milliseconds(15)};
  const auto answer = DecodeRelayReply(Encode(reply));
  REQUIRE(answer);
  const RelayedKind& kind = answer->kinds_.at("config");
  CHECK(kind.age_ == std::chrono::milliseconds(15));
  CHECK(kind.changes_.is_complete_);
  CHECK(kind.changes_.present_[0].content_["version"] == 3);
}

// Guards against a broken message that stops the process.
TEST_CASE("broken relay messages are errors", "[relay]") {
  CHECK_FALSE(DecodeRelayReply("not cbor"));
  CHECK_FALSE(DecodeRelayReply(""));
  CHECK_FALSE(DecodeRelayRequest(Encode(RelayReply{})));
}

}  // namespace
}  // namespace clementinerill::mirror
