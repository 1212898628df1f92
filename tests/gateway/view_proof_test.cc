#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using mirror::ProofOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRevoke = seconds(3);
constexpr Duration kMaxAge = kRevoke - traffic::kRevocationMargin;

uint64_t Proofs(const Daemon& daemon, ProofOutcome outcome) {
  return daemon.metrics_.proofs_.Value(outcome);
}

struct ViewProofFixture : GatewayFixture {
  /// As in the base, with an organisation: without one no proof is required.
  static nlohmann::json Configuration(int64_t version) {
    auto configuration = GatewayFixture::Configuration(version);
    configuration["tenants"] = {{{"name", "kami770"}, {"api_keys", {"key"}}}};
    return configuration;
  }

  void PutEverything() {
    GatewayFixture::PutEverything();
    store_.Put("config", "main", Configuration(5));
  }

  GatewayOptions StrictOptions(const std::string& name) {
    GatewayOptions options = Options(name);
    options.limits_.max_view_age_ = kMaxAge;
    return options;
  }

  nlohmann::json Status(const Daemon& daemon) {
    return nlohmann::json::parse(
        Get(*daemon.options_.metrics_listen_, "", "/status").body_);
  }

  /// Age of the proof in ms; -1 if there is none.
  int64_t ProofAge(const Daemon& daemon) {
    const auto age = Status(daemon)["proof_age_ms"];
    return age.is_number() ? age.get<int64_t>() : -1;
  }

  /// Registers daemons with more capacity in the failure domain of the test,
  /// which do not run.
  void AddUnreachableRelays() {
    for (const char* name : {"dead-1", "dead-2"}) {
      store_.Put("clementinerill-daemons", name,
                 {{"failure_domain", "z1"},
                  {"relay", "127.0.0.1:" + std::to_string(FreePort(loop_))},
                  {"capacity", 5000}});
    }
  }
};

// Guards against a daemon that keeps accepting keys which the store has
// revoked while no response of the store reaches it.
TEST_CASE("a daemon without the store turns not ready in time", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.StrictOptions("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRegistered(daemon); }));

  const bool is_down = GENERATE(true, false);
  fixture.store_.SetDown(is_down);
  fixture.store_.SetSilent(!is_down);
  fixture.RunFor(milliseconds(300));
  CHECK(fixture.IsReady(daemon));
  fixture.RunFor(kMaxAge);
  CHECK_FALSE(fixture.IsReady(daemon));
  CHECK(fixture.ProofAge(daemon) >= ToMilliseconds(kMaxAge));
  CHECK(fixture.RunUntil(
      [&] { return daemon.metrics_.proof_expiries_.Value() == 1; }));
  CHECK(daemon.metrics_.proof_age_.Value() >= ToMilliseconds(kMaxAge));

  fixture.store_.SetDown(false);
  fixture.store_.SetSilent(false);
  CHECK(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  CHECK(fixture.ProofAge(daemon) < ToMilliseconds(kMaxAge));
}

// Guards against an age that counts from the response: it may be read long
// after the store has sent it.
TEST_CASE("the proof of a watch counts from its sending", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.StrictOptions("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  const int calls = fixture.store_.request_counts_["GET config"];
  fixture.store_.EndWatches();
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.store_.request_counts_["GET config"] > calls; }));
  fixture.RunFor(milliseconds(200));
  const uint64_t before = Proofs(daemon, ProofOutcome::kProven);
  fixture.store_.EndWatches();
  REQUIRE(fixture.RunUntil(
      [&] { return Proofs(daemon, ProofOutcome::kProven) > before; }));
  CHECK(fixture.ProofAge(daemon) >= 200);
}

// Guards against a daemon that takes a proof from relays or a store which it
// cannot reach.
TEST_CASE("a daemon without store and relays turns not ready", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  fixture.AddUnreachableRelays();
  Daemon& daemon = fixture.Start(fixture.StrictOptions("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.RunFor(seconds(1));
  fixture.store_.SetSilent(true);
  fixture.RunFor(kMaxAge);
  CHECK_FALSE(fixture.IsReady(daemon));
  fixture.store_.SetSilent(false);
  CHECK(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
}

// Guards against relays that renew each other's proofs.
TEST_CASE("daemons with relays but without the store turn not ready",
          "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  for (int i = 0; i < 5; ++i) {
    fixture.Start(fixture.StrictOptions("vm-" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  fixture.RunFor(seconds(2));
  fixture.store_.SetSilent(true);
  fixture.RunFor(kMaxAge);
  for (const auto& daemon : fixture.daemons_) {
    CHECK_FALSE(fixture.IsReady(*daemon));
  }
  fixture.store_.SetSilent(false);
  CHECK(fixture.RunUntil([&] { return fixture.AllReady(); }));
}

// Guards against readers whose proofs grow old while all is well, and against
// readers that ask the store for what their relay has.
TEST_CASE("readers have their proofs from relays", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  for (int i = 0; i < 5; ++i) {
    fixture.Start(fixture.StrictOptions("vm-" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  fixture.RunFor(seconds(2));
  const int before = fixture.store_.request_counts_["GET config"];
  int64_t oldest = 0;
  const Instant end = http::EventLoop::Now() + seconds(4);
  while (http::EventLoop::Now() < end) {
    for (const auto& daemon : fixture.daemons_) {
      const int64_t age = fixture.ProofAge(*daemon);
      CHECK(age >= 0);
      oldest = std::max(oldest, age);
    }
    fixture.RunFor(milliseconds(50));
  }
  const int calls = fixture.store_.request_counts_["GET config"] - before;
  CAPTURE(oldest, calls);
  CHECK(oldest < ToMilliseconds(Scale(kRevoke, 0.6)));
  // One watcher, with two calls a second.
  CHECK(calls <= 12);
  CHECK(fixture.AllReady());
}

// Guards against a reader that is not ready for ever behind relays that state
// no age, as those of the previous version.
TEST_CASE("a reader behind relays without proofs asks the store", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  for (const char* name : {"relay-1", "relay-2"}) {
    GatewayOptions options = fixture.Options(name);
    options.capacity_ = 500;
    fixture.Start(options);
  }
  Daemon& reader = fixture.Start(fixture.StrictOptions("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(reader); }));
  // The role is known now, and the proof of the first list has expired.
  fixture.RunFor(seconds(1) + kMaxAge);
  CHECK(Proofs(reader, ProofOutcome::kNoRelayProof) > 0);
  CHECK(fixture.IsReady(reader));
}

// Guards against a proof that is lost for good, or kept from the lost part,
// when the store returns from an older copy.
TEST_CASE("a restored store gives a proof again", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.StrictOptions("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.store_.Copy();
  fixture.store_.Put("config", "main", fixture.Configuration(7));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllUseVersion(7); }));
  fixture.store_.Restore();
  fixture.RunFor(kMaxAge + milliseconds(500));
  CHECK(fixture.IsReady(daemon));
  CHECK(fixture.ProofAge(daemon) < ToMilliseconds(kMaxAge));
  CHECK(fixture.TimeUntilInForce(9) <= daemon.options_.max_propagation_delay_);
}

// Guards against any effect on deployments that require no proof.
TEST_CASE("without a limit nothing depends on the proof", "[proof]") {
  ViewProofFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.store_.SetSilent(true);
  fixture.RunFor(kMaxAge + milliseconds(300));
  CHECK(fixture.IsReady(daemon));
  CHECK_FALSE(fixture.Status(daemon).contains("proof_age_ms"));
  CHECK(Proofs(daemon, ProofOutcome::kProven) == 0);
  CHECK(daemon.metrics_.proof_age_.Value() == 0);

  // Settings that are reloaded put the part in effect.
  GatewayOptions reloaded = daemon.options_;
  reloaded.limits_.max_view_age_ = kMaxAge;
  daemon.traffic_.SetSettings(reloaded);
  daemon.control_.SetMaxViewAge(kMaxAge);
  CHECK_FALSE(fixture.IsReady(daemon));
  fixture.store_.SetSilent(false);
  CHECK(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
}

}  // namespace
}  // namespace clementinerill::gateway
