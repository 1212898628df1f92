#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/duty_session.h"
#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLease = milliseconds(1000);
constexpr Duration kCallTimeout = milliseconds(200);
constexpr const char* kKind = "clementinerill-duties";
constexpr const char* kDuty = "usage_report";

/// Sessions of three daemons at one store.
struct DutyFixture : GatewayFixture {
  struct Node {
    GatewayOptions options_;
    GatewayMetrics metrics_;
    std::optional<DutySession> session_;
  };

  Node& Add(const std::string& name, Duration lease = kLease) {
    nodes_.push_back(std::make_unique<Node>());
    Node& node = *nodes_.back();
    node.options_ = Options(name);
    node.options_.duty_ = DutyOptions{};
    node.options_.duty_->name_ = kDuty;
    node.options_.duty_->lease_ = lease;
    node.options_.duty_->margin_ = milliseconds(100);
    node.session_.emplace(loop_, node.options_, node.metrics_, [] {});
    return node;
  }

  void SetDaemons() {
    std::vector<mirror::DaemonRecord> records;
    for (const auto& node : nodes_) {
      mirror::DaemonRecord record;
      record.name_ = node->options_.name_;
      record.failure_domain_ = "z" + std::to_string(records.size());
      records.push_back(record);
    }
    for (const auto& node : nodes_) {
      node->session_->SetDaemons(records);
    }
  }

  [[nodiscard]] Node* Holder() const {
    Node* holder = nullptr;
    for (const auto& node : nodes_) {
      if (node->session_ &&
          duty::MayCall(node->session_->State(), http::EventLoop::BootNow(),
                        kCallTimeout)) {
        CHECK_FALSE(holder);
        holder = node.get();
      }
    }
    return holder;
  }

  [[nodiscard]] static int64_t TokenOf(const Node& node) {
    return duty::HeldToken(node.session_->State(), http::EventLoop::BootNow())
        .value_or(0);
  }

  Node& StartThree() {
    for (const char* name : {"vm-1", "vm-2", "vm-3"}) {
      Add(name);
    }
    SetDaemons();
    REQUIRE(RunUntil([&] { return Holder() != nullptr; }));
    return *Holder();
  }

  std::vector<std::unique_ptr<Node>> nodes_;
};

TEST_CASE("one daemon holds the duty and keeps it", "[duty]") {
  DutyFixture fixture;
  DutyFixture::Node& holder = fixture.StartThree();
  const int64_t token = DutyFixture::TokenOf(holder);
  fixture.RunFor(seconds(3));
  CHECK(fixture.Holder() == &holder);
  CHECK(DutyFixture::TokenOf(holder) == token);
  CHECK(holder.session_->Status().is_held_);
  CHECK(holder.session_->Status().holder_ == holder.options_.name_);
}

// Guards against a duty that nobody performs after its holder was lost, and
// against a successor with the same token.
TEST_CASE("another daemon takes over from a lost holder", "[duty]") {
  DutyFixture fixture;
  DutyFixture::Node& holder = fixture.StartThree();
  const int64_t token = DutyFixture::TokenOf(holder);
  REQUIRE(holder.session_->SetPayload("window 7"));
  fixture.RunFor(milliseconds(300));
  holder.session_.reset();
  REQUIRE(fixture.RunUntil([&] { return fixture.Holder() != nullptr; }));
  DutyFixture::Node& successor = *fixture.Holder();
  CHECK(DutyFixture::TokenOf(successor) == token + 1);
  CHECK(*duty::PayloadInForce(successor.session_->State(),
                              http::EventLoop::BootNow()) == "window 7");
}

TEST_CASE("a holder whose write gets no response reads it back", "[duty]") {
  DutyFixture fixture;
  DutyFixture::Node& holder = fixture.StartThree();
  const int64_t token = DutyFixture::TokenOf(holder);
  fixture.store_.lost_write_responses_ = 1;
  fixture.RunFor(seconds(2));
  CHECK(fixture.store_.lost_write_responses_ == 0);
  CHECK(fixture.Holder() == &holder);
  CHECK(DutyFixture::TokenOf(holder) == token);
}

// Guards against a holder that acts while it cannot renew its lease.
TEST_CASE("nobody acts while the store is silent", "[duty]") {
  DutyFixture fixture;
  DutyFixture::Node& holder = fixture.StartThree();
  const int64_t token = DutyFixture::TokenOf(holder);
  fixture.store_.SetSilent(true);
  fixture.RunFor(kLease);
  CHECK_FALSE(fixture.Holder());
  fixture.store_.SetSilent(false);
  CHECK(fixture.RunUntil([&] { return fixture.Holder() != nullptr; }));
  CHECK(DutyFixture::TokenOf(*fixture.Holder()) >= token);
}

TEST_CASE("the token rises with the era of a restored store", "[duty]") {
  DutyFixture fixture;
  DutyFixture::Node& holder = fixture.StartThree();
  const int64_t token = DutyFixture::TokenOf(holder);
  fixture.store_.Copy();
  fixture.RunFor(seconds(1));
  fixture.store_.Restore();
  REQUIRE(fixture.RunUntil([&] {
    const DutyFixture::Node* now = fixture.Holder();
    return now && DutyFixture::TokenOf(*now) > token;
  }));
  CHECK(duty::EraOfToken(DutyFixture::TokenOf(*fixture.Holder())) == 2);
}

// Guards against calls of the store by daemons whose settings name no duty.
TEST_CASE("without a duty in the settings the part is off", "[duty]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.RunFor(milliseconds(500));
  for (const auto& [call, count] : fixture.store_.request_counts_) {
    CHECK(call.find(kKind) == std::string::npos);
  }
  const auto status =
      fixture.Get(*daemon.options_.metrics_listen_, "daemon", "/status");
  CHECK_FALSE(nlohmann::json::parse(status.body_).contains("duties"));
}

TEST_CASE("a daemon with a duty in its settings takes part", "[duty]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  GatewayOptions options = fixture.Options("vm-1");
  options.duty_ = DutyOptions{};
  options.duty_->name_ = kDuty;
  options.duty_->lease_ = kLease;
  Daemon& daemon = fixture.Start(std::move(options));
  CHECK(fixture.RunUntil(
      [&] { return daemon.metrics_.duty_held_.Value() == 1; }));
  CHECK(daemon.metrics_.duty_writes_.Value(duty::WriteOutcome::kConfirmed) > 0);
  const auto status =
      fixture.Get(*daemon.options_.metrics_listen_, "daemon", "/status");
  const auto duty = nlohmann::json::parse(status.body_)["duties"][kDuty];
  CHECK(duty["holder"] == "vm-1");
  CHECK(duty["token"].get<int64_t>() > 0);
  CHECK(duty["held"] == true);
  CHECK(duty["candidate"] == true);
}

// Prints the calls of the store in half a minute with the lease in use.
TEST_CASE("calls of the store by the holder and two candidates", "[.calls]") {
  DutyFixture fixture;
  for (const char* name : {"vm-1", "vm-2", "vm-3"}) {
    fixture.Add(name, seconds(3));
  }
  fixture.SetDaemons();
  REQUIRE(fixture.RunUntil([&] { return fixture.Holder() != nullptr; }));
  auto& counts = fixture.store_.request_counts_;
  counts.clear();
  for (int i = 0; i < 10; ++i) {
    fixture.RunFor(seconds(3));
  }
  for (const auto& [call, count] : counts) {
    WARN(call << ": " << count << " in 30 s");
  }
}

}  // namespace
}  // namespace clementinerill::gateway
