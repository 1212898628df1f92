#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/aggregation_fixture.h"
#include "gateway/forward_header.h"

namespace clementinerill::gateway {
namespace {

using organisations::ForwardRefusal;
using traffic::ForwardOutcome;

constexpr const char* kKey = "secret-key-of-kami";

/// The fleet of the aggregation tests, with organisations.
struct ForwardedAccessFixture : AggregationFixture {
  ForwardedAccessFixture() { PutOrganisations(6, {kKey, "second-key"}); }

  void PutOrganisations(int version, const std::vector<std::string>& keys) {
    auto configuration = Configuration(5);
    configuration["version"] = version;
    auto& shards = configuration["routes"][0]["gather"];
    shards = nlohmann::json::array();
    for (int i = 0; i < kShards; ++i) {
      shards.push_back("shard-" + std::to_string(i));
    }
    configuration["tenants"] = {{{"name", "kami 770"}, {"api_keys", keys}}};
    // Long enough for another version while a query is in progress.
    configuration["routes"][0]["goal_ms"] = 4000;
    configuration["routes"][0]["timeout_ms"] = 4000;
    // A query ends only when all of its parts have ended.
    configuration["routes"][0]["min_share"] = 0.05;
    store_.Put("config", "main", configuration);
  }

  using SharedResult = std::shared_ptr<std::optional<http::ExchangeResult>>;

  SharedResult StartSend(const Endpoint& endpoint, const std::string& fields) {
    const auto connection = std::make_shared<http::ClientConnection>(
        loop_, endpoint.address_, endpoint.port_, 1 << 20);
    const auto result = std::make_shared<std::optional<http::ExchangeResult>>();
    http::ExchangeRequest request;
    request.bytes_ =
        "GET /s/1 HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: id-1\r\n"
        "X-Request-Deadline: 3500\r\n" +
        fields + "\r\n";
    connection->Start(std::move(request),
                      [result, connection](http::ExchangeResult r) {
                        *result = std::move(r);
                        connection->Close();
                      });
    return result;
  }

  http::HttpResponse Wait(const SharedResult& result) {
    RunUntil([&result] { return result->has_value(); });
    return *result ? (*result)->response_ : http::HttpResponse{};
  }

  http::HttpResponse Send(const Endpoint& endpoint, const std::string& fields) {
    return Wait(StartSend(endpoint, fields));
  }

  SharedResult StartKeyed(const Daemon& daemon) {
    return StartSend(daemon.options_.caller_listen_,
                     "Api-Key: " + std::string(kKey) +
                         "\r\nX-Tenant: claimed\r\n"
                         "Clementinerill-Forward: 1 6 0\r\n");
  }

  void RemoveKey() {
    PutOrganisations(7, {"second-key"});
    REQUIRE(RunUntil([&] { return AllUseVersion(7); }));
  }

  /// Sends queries with the key until the daemon has forwarded one.
  http::HttpResponse ForwardKeyed(const Daemon& daemon) {
    http::HttpResponse response;
    for (int i = 0; i < 30 && CountForwards(daemon) == 0; ++i) {
      RunFor(std::chrono::milliseconds(200));
      ForgetRequests();
      response = Wait(StartKeyed(daemon));
    }
    return response;
  }

  /// Sends a query to a daemon as another daemon does.
  int Forwarded(const Daemon& aggregator, const std::string& header) {
    return Send(*aggregator.options_.forward_listen_,
                std::string(kForwardHeader) + ": " + header + "\r\n")
        .status_;
  }

  void CheckReplicas() {
    for (const auto& replica : shard_replicas_) {
      REQUIRE(replica->requests_.size() == 1);
      const auto& headers = replica->requests_.back().headers_;
      CHECK(http::FindHeader(headers, "X-Tenant") == "kami 770");
      CHECK(http::FindHeader(headers, "Api-Key").empty());
      CHECK(http::FindHeader(headers, kForwardHeader).empty());
    }
  }
};

bool Contains(const http::Headers& headers, const std::string& text) {
  return std::any_of(headers.begin(), headers.end(), [&text](const auto& f) {
    return f.second.find(text) != std::string::npos;
  });
}

}  // namespace

// Guards against messages that daemons of the release before cannot read, and
// against names that are changed on the way.
TEST_CASE("the header of a forwarded query names the organisation",
          "[forward]") {
  ForwardHeader header;
  header.configuration_version_ = 5;
  CHECK(EncodeForwardHeader(header) == "1 5 0");
  header.subset_ = traffic::PartSubset{{0, 3}, 2, 1};
  CHECK(EncodeForwardHeader(header) == "1 5 0 2 1 0,3");
  for (const char* name :
       {"a", "kami 770", "50%", "%41", "Z\xc3\xbcrkh", "-"}) {
    header.organisation_ = name;
    const std::string text = EncodeForwardHeader(header);
    INFO(text);
    const auto decoded = DecodeForwardHeader(text);
    REQUIRE(decoded);
    CHECK(decoded->organisation_ == name);
    REQUIRE(decoded->subset_);
    CHECK(decoded->subset_->parts_ == std::vector<size_t>{0, 3});
  }
  header.organisation_ = "kami 770";
  CHECK(EncodeForwardHeader(header) == "2 5 0 kami%20770 2 1 0,3");
  for (const char* odd : {"2", "2 5 0", "2 5 0 ", "2 5 0 a%", "2 5 0 a%2",
                          "2 5 0 %4a", "2 5 0 %41", "2 5 0 %zz", "2 5 0 a b",
                          "1 5 0 a", "3 5 0 a", "2 5 0 a 1 0 3,3", "2 5 x a"}) {
    INFO(odd);
    CHECK_FALSE(DecodeForwardHeader(odd));
  }
}

// Guards against a key that reaches another daemon.
TEST_CASE("an aggregator is told the organisation and never the key",
          "[forward]") {
  ForwardedAccessFixture fixture;
  FakeAggregator refusing(fixture, [](const auto& caller, const auto&) {
    caller->Respond({kForwardRefused, {}, "", true}, false);
  });
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CheckComplete(fixture.ForwardKeyed(entry));
  REQUIRE_FALSE(refusing.requests_.empty());
  const auto& headers = refusing.requests_.back().headers_;
  CHECK_FALSE(Contains(headers, kKey));
  CHECK_FALSE(Contains(headers, "claimed"));
  const std::string header(http::FindHeader(headers, kForwardHeader));
  CHECK(header.find("2 6 ") == 0);
  CHECK(header.find(" kami%20770") != std::string::npos);
  fixture.CheckReplicas();
}

// Guards against replicas that are not told the organisation of a query which
// another daemon gathers.
TEST_CASE("an aggregator names the organisation to replicas", "[forward]") {
  ForwardedAccessFixture fixture;
  Daemon& aggregator = fixture.StartDaemon("aggregator", 1000);
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CheckComplete(fixture.ForwardKeyed(entry));
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kAnswered) == 1);
  CHECK(aggregator.metrics_.gathered_for_others_.Value() == 1);
  fixture.CheckReplicas();
}

// Guards against queries that run on behalf of nobody, of an organisation that
// was removed, or on an old configuration.
TEST_CASE("an aggregator refuses queries without a known organisation",
          "[forward]") {
  ForwardedAccessFixture fixture;
  Daemon& aggregator = fixture.StartDaemon("aggregator", 1000);
  const auto refused = [&](ForwardRefusal reason) {
    return aggregator.metrics_.forward_access_refused_.Value(reason);
  };
  CHECK(fixture.Forwarded(aggregator, "1 6 0") == kForwardRefused);
  CHECK(refused(ForwardRefusal::kNoOrganisation) == 1);
  CHECK(fixture.Forwarded(aggregator, "2 6 0 golo131") == kForwardRefused);
  CHECK(refused(ForwardRefusal::kUnknownOrganisation) == 1);
  CHECK(fixture.Forwarded(aggregator, "2 5 0 kami%20770") == kForwardRefused);
  CHECK(fixture.MostRequests() == 0);
  CHECK(fixture.Forwarded(aggregator, "2 6 0 kami%20770") == 200);
  fixture.CheckReplicas();
  fixture.ForgetRequests();
  GatewayOptions settings = aggregator.options_;
  settings.limits_.max_view_age_ = std::chrono::milliseconds(4900);
  aggregator.traffic_.SetSettings(settings);
  CHECK(fixture.Forwarded(aggregator, "2 6 0 kami%20770") == kForwardRefused);
  CHECK(refused(ForwardRefusal::kViewTooOld) == 1);
  CHECK(fixture.MostRequests() == 0);
}

// Guards against parts that another daemon sends on behalf of nobody.
TEST_CASE("delegated parts name the organisation", "[forward]") {
  ForwardedAccessFixture fixture;
  for (int i = 0; i < kShards; i += 2) {
    auto spec = fixture.shard_replicas_[static_cast<size_t>(i)]->Entry(
        "shard-" + std::to_string(i));
    spec["zone"] = "z2";
    fixture.store_.Put("servers", "r" + std::to_string(i), spec);
  }
  GatewayOptions options = fixture.Options("far");
  options.failure_domain_ = "z2";
  options.capacity_ = 1000;
  options.forward_listen_ = Endpoint{"127.0.0.1", FreePort(fixture.loop_)};
  Daemon& far = fixture.Start(options);
  Daemon& near = fixture.StartDaemon("near", 1000);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(far); }));
  CheckComplete(fixture.ForwardKeyed(near));
  CHECK(far.metrics_.gathered_for_others_.Value() == 1);
  fixture.CheckReplicas();
}

// Guards against an aggregator that goes on with a query whose key may have
// been removed, and against a 401 for a key that it does not know.
TEST_CASE("an aggregator stops when a key of the organisation is removed",
          "[forward]") {
  ForwardedAccessFixture fixture;
  Daemon& aggregator = fixture.StartDaemon("aggregator", 1000);
  std::vector<FakeReplica::Caller> held;
  for (const auto& replica : fixture.shard_replicas_) {
    replica->handler_ = [&held](const auto& caller, const auto&) {
      held.push_back(caller);
    };
  }
  const auto result =
      fixture.StartSend(*aggregator.options_.forward_listen_,
                        std::string(kForwardHeader) + ": 2 6 0 kami%20770\r\n");
  REQUIRE(fixture.RunUntil([&] { return held.size() == kShards; }));
  fixture.RemoveKey();
  for (const auto& caller : held) {
    caller->Respond({503, {{"X-Not-Executed", "1"}}, "", true}, false);
  }
  CHECK(fixture.Wait(result).status_ == 503);
  CHECK(held.size() == kShards);
}

// Guards against a query that is gathered after its key was removed, because
// the aggregator refused it.
TEST_CASE("a refused query is not gathered after its key was removed",
          "[forward]") {
  ForwardedAccessFixture fixture;
  std::vector<FakeAggregator::Caller> held;
  FakeAggregator slow(fixture, [&held](const auto& caller, const auto&) {
    held.push_back(caller);
  });
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  ForwardedAccessFixture::SharedResult result;
  for (int i = 0; i < 30 && held.empty(); ++i) {
    fixture.ForgetRequests();
    result = fixture.StartKeyed(entry);
    fixture.RunFor(std::chrono::milliseconds(200));
  }
  REQUIRE_FALSE(held.empty());
  fixture.RemoveKey();
  held[0]->Respond({kForwardRefused, {}, "", true}, false);
  CHECK(fixture.Wait(result).status_ == 401);
  CHECK(fixture.MostRequests() == 0);
}

}  // namespace clementinerill::gateway
