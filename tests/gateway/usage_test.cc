#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/fake_duty.h"
#include "gateway/fake_usage_api.h"
#include "gateway/gateway_fixture.h"
#include "platform/usage_codec.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Daemons that count and report usage in windows of one second.
struct UsageFixture : GatewayFixture {
  UsageFixture() {
    PutEverything();
    api_.lease_ = milliseconds(1500);
  }

  GatewayOptions UsageSettings(const std::string& name) {
    GatewayOptions options = Options(name);
    UsageOptions usage;
    usage.api_ = {"127.0.0.1", api_.Port()};
    usage.reports_ = {seconds(1), seconds(3)};
    usage.calls_per_s_ = 20;
    usage.encode_report_ = platform_adapter::EncodeUsageReport;
    options.usage_ = usage;
    return options;
  }

  /// Starts daemons, of which the first `candidates` may hold the duty.
  void StartFleet(int count, int candidates) {
    for (int i = 0; i < count; ++i) {
      const std::string name = "vm-" + std::to_string(i + 1);
      Daemon& daemon = Start(UsageSettings(name));
      duties_.push_back(nullptr);
      if (i < candidates) {
        duties_.back() = std::make_unique<FakeDuty>(loop_, object_, name, i);
        FakeDuty* duty = duties_.back().get();
        daemon.control_.Usage()->Reporter().SetDuty(
            duty->State(), [duty](std::string payload) {
              return duty->SetPayload(std::move(payload));
            });
      }
    }
    REQUIRE(RunUntil([this] { return AllReady(); }));
  }

  void Count(size_t index, const std::string& organisation, int requests) {
    usage::Batch batch;
    for (int i = 0; i < requests; ++i) {
      REQUIRE(
          usage::AddRequest(batch, organisation, http::EventLoop::BootNow()));
    }
    daemons_[index]->control_.RecordUsage(batch);
    counted_[organisation] += requests;
  }

  /// Serves requests at all daemons.
  void Serve(Duration length) {
    const Instant end = http::EventLoop::Now() + length;
    while (http::EventLoop::Now() < end) {
      for (size_t i = 0; i < daemons_.size(); ++i) {
        Count(i, "kami770", 2);
        Count(i, "golo131", static_cast<int>(i % 2));
      }
      RunFor(milliseconds(100));
    }
  }

  bool IsAllReported() {
    return std::all_of(counted_.begin(), counted_.end(),
                       [this](const auto& count) {
                         return api_.Total(count.first) == count.second;
                       });
  }

  void CheckReports() {
    for (const std::string& violation : api_.violations_) {
      INFO(violation);
      CHECK(api_.violations_.empty());
    }
    CHECK(api_.HasNoGap());
    for (const auto& [organisation, requests] : counted_) {
      INFO(organisation);
      CHECK(api_.Total(organisation) == requests);
    }
  }

  /// Requests before the first whole window are not reported.
  void WaitForFirstWindow() {
    REQUIRE(RunUntil([this] { return !api_.accepted_.empty(); }));
  }

  FakeUsageApi api_{loop_};
  FakeDutyObject object_;
  std::vector<std::unique_ptr<FakeDuty>> duties_;
  std::map<std::string, int64_t> counted_;
};

// Guards against requests that are reported twice or not at all, and against
// windows that are left out.
TEST_CASE("the counts of all daemons are reported once", "[gateway][usage]") {
  UsageFixture fixture;
  fixture.StartFleet(3, 2);
  fixture.WaitForFirstWindow();
  fixture.Serve(seconds(3));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsAllReported(); }));
  const size_t windows = fixture.api_.accepted_.size();
  // Windows without requests follow.
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.api_.accepted_.size() >= windows + 2; }));
  fixture.CheckReports();
  CHECK(fixture.api_.accepted_.size() == fixture.api_.calls_.size());
}

// Guards against windows that are lost with their holder, and against a
// successor that counts a fixed window anew.
TEST_CASE("a successor continues the reports", "[gateway][usage]") {
  UsageFixture fixture;
  fixture.StartFleet(3, 3);
  fixture.WaitForFirstWindow();
  fixture.Serve(seconds(2));
  fixture.api_.loses_responses_ = true;
  fixture.RunFor(milliseconds(1000));
  const std::string holder = fixture.object_.record_->holder_;
  for (const auto& duty : fixture.duties_) {
    if (duty->State().holder_ == holder) {
      duty->CutOff();
    }
  }
  fixture.api_.loses_responses_ = false;
  fixture.Serve(seconds(3));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsAllReported(); }));
  CHECK(fixture.object_.record_->holder_ != holder);
  fixture.CheckReports();
}

// Guards against reports that change or are lost while the API is down.
TEST_CASE("reports are repeated exactly while the API is down",
          "[gateway][usage]") {
  UsageFixture fixture;
  fixture.StartFleet(2, 2);
  fixture.WaitForFirstWindow();
  // Reports are kept for 8 windows of 1 s; the oldest is 2 s old at the start,
  // and a retry may take 2 s after the end.
  fixture.api_.status_ = 503;
  fixture.Serve(seconds(1));
  const size_t accepted = fixture.api_.accepted_.size();
  fixture.RunFor(seconds(1));
  CHECK(fixture.api_.accepted_.size() == accepted);
  fixture.api_.is_silent_ = true;
  fixture.RunFor(milliseconds(700));
  fixture.api_.is_silent_ = false;
  fixture.api_.status_ = 200;
  REQUIRE(fixture.RunUntil([&] { return fixture.IsAllReported(); }));
  fixture.CheckReports();
  std::map<int64_t, std::string> bodies;
  for (const auto& call : fixture.api_.calls_) {
    CHECK(bodies.emplace(call.window_, call.body_).first->second == call.body_);
  }
}

// Guards against counts that end at a relay, and against a holder that follows
// a relay and lacks the counts of others.
TEST_CASE("counts travel through relays", "[gateway][usage]") {
  UsageFixture fixture;
  fixture.AddRemoteDaemons(16);
  // Of four daemons in a domain two or more follow a relay.
  fixture.StartFleet(4, 4);
  REQUIRE(
      fixture.RunUntil([&] { return fixture.object_.record_.has_value(); }));
  fixture.WaitForFirstWindow();
  fixture.Serve(seconds(2));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsAllReported(); }));
  fixture.CheckReports();
  size_t readers = 0;
  for (const auto& daemon : fixture.daemons_) {
    const auto& clock = daemon->control_.Usage()->Exchange().Clock();
    readers += clock.relay_ ? 1 : 0;
    CHECK(daemon->control_.Usage()->Exchange().Table().entries_ > 0);
  }
  CHECK(readers >= 2);
}

// Guards against a holder that reports again what an older copy of the store
// does not have, with other counts.
TEST_CASE("a restored store changes no report", "[gateway][usage]") {
  UsageFixture fixture;
  fixture.StartFleet(2, 2);
  fixture.WaitForFirstWindow();
  const auto copy = fixture.object_.record_;
  fixture.Serve(seconds(3));
  fixture.object_.record_ = copy;
  fixture.object_.era_ = 2;
  fixture.Serve(seconds(2));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsAllReported(); }));
  fixture.CheckReports();
}

TEST_CASE("the status page shows the holder and the last window",
          "[gateway][usage]") {
  UsageFixture fixture;
  fixture.StartFleet(1, 1);
  fixture.WaitForFirstWindow();
  fixture.RunFor(milliseconds(300));
  const auto status = nlohmann::json::parse(
      fixture.Get(*fixture.daemons_[0]->options_.metrics_listen_, "", "/status")
          .body_);
  REQUIRE(status.contains("usage"));
  CHECK(status["usage"]["holder"] == "vm-1");
  CHECK(status["usage"]["is_holder"] == true);
  CHECK(status["usage"]["token"] == fixture.object_.record_->token_);
  CHECK(status["usage"]["last_window_sent"].is_number());
}

// Guards against calls and fields on the wire where the settings name no duty.
TEST_CASE("without the setting nothing is counted", "[gateway][usage]") {
  UsageFixture fixture;
  fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  CHECK_FALSE(fixture.daemons_[0]->control_.Usage());
  const auto status = nlohmann::json::parse(
      fixture.Get(*fixture.daemons_[0]->options_.metrics_listen_, "", "/status")
          .body_);
  CHECK_FALSE(status.contains("usage"));
}

}  // namespace
}  // namespace clementinerill::gateway
