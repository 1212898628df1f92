#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/forward_header.h"
#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using organisations::AccessRefusal;
using organisations::ForwardRefusal;
using std::chrono::milliseconds;

constexpr const char* kKey = "secret-key-of-kami";

/// One daemon and a configuration with organisations: route "hold" needs a key,
/// route "open" has the same service and is public.
struct AccessFixture : GatewayFixture {
  AccessFixture() {
    PutEverything();
    Put(5, {{{"name", "kami770"}, {"api_keys", {kKey, "second-key"}}}});
  }

  void Put(int version, const nlohmann::json& organisations) {
    auto configuration = Configuration(5);
    configuration["version"] = version;
    configuration["tenants"] = organisations;
    auto open = configuration["routes"][1];
    open["name"] = "open";
    open["path_prefix"] = "/open/";
    open["public"] = true;
    configuration["routes"].push_back(open);
    store_.Put("config", "main", configuration);
  }

  Daemon& StartReady() {
    Daemon& daemon = Start(Options("vm-1"));
    REQUIRE(RunUntil([&] { return IsReady(daemon); }));
    return daemon;
  }

  /// Sends the head and the body as they are, and returns the response.
  http::HttpResponse Send(const Endpoint& endpoint, const std::string& bytes) {
    auto result = StartSend(endpoint, bytes);
    RunUntil([&] { return result->has_value(); });
    return *result ? (*result)->response_ : http::HttpResponse{};
  }

  using SharedResult = std::shared_ptr<std::optional<http::ExchangeResult>>;

  SharedResult StartSend(const Endpoint& endpoint, const std::string& bytes) {
    const auto result = std::make_shared<std::optional<http::ExchangeResult>>();
    const auto connection = std::make_shared<http::ClientConnection>(
        loop_, endpoint.address_, endpoint.port_, 1 << 20);
    http::ExchangeRequest request;
    request.bytes_ = bytes;
    connection->Start(std::move(request),
                      [result, connection](http::ExchangeResult r) {
                        *result = std::move(r);
                        connection->Close();
                      });
    return result;
  }

  static std::string Head(const std::string& path, const std::string& fields) {
    return "GET " + path + " HTTP/1.1\r\nHost: hold.example\r\n" +
           "X-Request-Id: id-1\r\nX-Request-Deadline: 800\r\n" + fields +
           "\r\n";
  }

  static std::string KeyField(const std::string& key) {
    return "Api-Key: " + key + "\r\n";
  }

  http::HttpResponse Hold(const Daemon& daemon, const std::string& fields) {
    return Send(daemon.options_.caller_listen_, Head("/h5/1", fields));
  }

  [[nodiscard]] const std::vector<http::HttpRequest>& HoldRequests() const {
    return replicas_[2]->requests_;
  }

  std::string Page(const Daemon& daemon, const std::string& path) {
    return Get(*daemon.options_.metrics_listen_, "", path).body_;
  }
};

std::string_view Field(const http::HttpRequest& request,
                       const std::string& name) {
  return http::FindHeader(request.headers_, name);
}

size_t CountFields(const http::HttpRequest& request, const std::string& name) {
  return static_cast<size_t>(
      std::count_if(request.headers_.begin(), request.headers_.end(),
                    [&name](const auto& field) {
                      return http::IsSameHeaderName(field.first, name);
                    }));
}

}  // namespace

// Guards against a request without a valid key that reaches a replica.
TEST_CASE("requests without a valid key get 401", "[access]") {
  AccessFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const auto refused = [&](AccessRefusal reason) {
    return daemon.metrics_.access_refused_.Value(reason);
  };
  const auto missing = fixture.Hold(daemon, "");
  CHECK(missing.status_ == 401);
  CHECK(http::FindHeader(missing.headers_, "Retry-After").empty());
  CHECK(fixture.Hold(daemon, "Api-Key:\r\n").status_ == 401);
  CHECK(refused(AccessRefusal::kNoKey) == 2);
  const std::string key = AccessFixture::KeyField(kKey);
  CHECK(fixture.Hold(daemon, key + key).status_ == 401);
  CHECK(refused(AccessRefusal::kRepeatedKey) == 1);
  CHECK(fixture.Hold(daemon, AccessFixture::KeyField("kami770")).status_ ==
        401);
  CHECK(refused(AccessRefusal::kUnknownKey) == 1);
  CHECK(fixture.HoldRequests().empty());
  CHECK(fixture.Hold(daemon, key).status_ == 200);
  CHECK(fixture.Hold(daemon, "API-KEY:  second-key \r\n").status_ == 200);
  CHECK(fixture.HoldRequests().size() == 2);
}

// Guards against a caller that has to send its whole body before it learns that
// it has no access, and against memory for such bodies.
TEST_CASE("a request is refused before its body is read", "[access]") {
  AccessFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const std::string head =
      "POST /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: id-1\r\n"
      "Content-Length: 5000\r\n\r\n";
  CHECK(fixture.Send(daemon.options_.caller_listen_, head).status_ == 401);
  CHECK(fixture.HoldRequests().empty());
}

// Guards against a key that leaves the daemon, and against an organisation that
// a caller claims for itself.
TEST_CASE("replicas learn the organisation and never the key", "[access]") {
  AccessFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const std::string claims =
      "X-Tenant: golo131\r\nx-tenant: other\r\nX-Other: kept\r\n"
      "Connection: X-Tenant\r\nClementinerill-Forward: 1 5 0\r\n";
  const std::string key = AccessFixture::KeyField(kKey);
  REQUIRE(fixture.Hold(daemon, claims + key).status_ == 200);
  const http::HttpRequest& request = fixture.HoldRequests().back();
  CHECK(Field(request, "X-Tenant") == "kami770");
  CHECK(CountFields(request, "X-Tenant") == 1);
  CHECK(Field(request, "X-Other") == "kept");
  CHECK(CountFields(request, "Api-Key") == 0);
  CHECK(CountFields(request, kForwardHeader) == 0);

  const Endpoint& endpoint = daemon.options_.caller_listen_;
  const auto open = AccessFixture::Head("/open/1", claims + key + key);
  REQUIRE(fixture.Send(endpoint, open).status_ == 200);
  const http::HttpRequest& on_public_route = fixture.HoldRequests().back();
  CHECK(CountFields(on_public_route, "X-Tenant") == 0);
  CHECK(CountFields(on_public_route, "Api-Key") == 0);
  CHECK(Field(on_public_route, "X-Other") == "kept");

  for (const char* path : {"/status", "/metrics"}) {
    CHECK(fixture.Page(daemon, path).find(kKey) == std::string::npos);
  }
  const auto status = nlohmann::json::parse(fixture.Page(daemon, "/status"));
  CHECK(status["organisations"]["count"] == 1);
  CHECK(status["organisations"]["keys"] == 2);
}

// Guards against keys in trailers, which arrive after the check of the head.
TEST_CASE("a key in a trailer is not passed on", "[access]") {
  AccessFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const std::string head =
      "POST /open/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: id-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::string body = "1\r\na\r\n0\r\n";
  const auto response =
      fixture.Send(daemon.options_.caller_listen_,
                   head + body + AccessFixture::KeyField(kKey) +
                       "X-Tenant: golo131\r\n\r\n");
  REQUIRE(response.status_ == 200);
  CHECK(CountFields(fixture.HoldRequests().back(), "Api-Key") == 0);
  CHECK(CountFields(fixture.HoldRequests().back(), "X-Tenant") == 0);
}

// Guards against changes for deployments without organisations.
TEST_CASE("without organisations all fields are passed on", "[access]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  const auto connection = std::make_shared<http::ClientConnection>(
      fixture.loop_, "127.0.0.1", daemon.options_.caller_listen_.port_,
      1 << 20);
  std::optional<http::ExchangeResult> result;
  http::ExchangeRequest request;
  request.bytes_ = AccessFixture::Head(
      "/h5/1", "Api-Key: a\r\nApi-Key: b\r\nX-Tenant: c\r\n" +
                   std::string(kForwardHeader) + ": d\r\n");
  connection->Start(std::move(request), [&result](http::ExchangeResult r) {
    result = std::move(r);
  });
  fixture.RunUntil([&] { return result.has_value(); });
  connection->Close();
  CHECK(result->response_.status_ == 200);
  // In the order of the caller.
  const http::Headers expected = {
      {"Host", "hold.example"}, {"X-Request-Id", "id-1"},
      {"Api-Key", "a"},         {"Api-Key", "b"},
      {"X-Tenant", "c"},        {kForwardHeader, "d"}};
  const http::Headers& sent = fixture.replicas_[2]->requests_.back().headers_;
  REQUIRE(sent.size() == expected.size() + 2);
  for (size_t i = 0; i < expected.size(); ++i) {
    CHECK(sent[i] == expected[i]);
  }
  CHECK(sent[expected.size()].first == "X-Request-Deadline");
  CHECK(sent[expected.size() + 1].first == "X-Expect-Instance");
  const auto status = nlohmann::json::parse(
      fixture.Get(*daemon.options_.metrics_listen_, "", "/status").body_);
  CHECK(status["organisations"].is_null());
}

// Guards against keys that are still accepted, or not accepted yet, with
// another version in force; and against keys on /status.
TEST_CASE("keys are added and removed by new versions", "[access]") {
  AccessFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const std::string key = AccessFixture::KeyField(kKey);
  const std::string added = AccessFixture::KeyField("added");
  CHECK(fixture.Hold(daemon, added).status_ == 401);
  fixture.Put(6, {{{"name", "kami770"}, {"api_keys", {"added"}}}});
  REQUIRE(fixture.RunUntil([&] { return fixture.AllUseVersion(6); }));
  CHECK(fixture.Hold(daemon, key).status_ == 401);
  CHECK(fixture.Hold(daemon, added).status_ == 200);

  // A key of two organisations makes the version unusable.
  fixture.Put(7, {{{"name", "kami770"}, {"api_keys", {kKey}}},
                  {{"name", "golo131"}, {"api_keys", {kKey}}}});
  REQUIRE(fixture.RunUntil([&] {
    return fixture.Page(daemon, "/status").find("is a key of organisation") !=
           std::string::npos;
  }));
  CHECK(fixture.Page(daemon, "/status").find(kKey) == std::string::npos);
  CHECK(fixture.Hold(daemon, key).status_ == 401);
  CHECK(fixture.Hold(daemon, added).status_ == 200);
}

// Guards against a 401 or a 200 on the basis of a configuration that may have
// been replaced.
TEST_CASE("an old view refuses keyed requests with 503", "[access]") {
  AccessFixture fixture;
  Daemon& daemon = fixture.StartReady();
  GatewayOptions settings = daemon.options_;
  // No proof has been received.
  settings.limits_.max_view_age_ = milliseconds(4900);
  daemon.traffic_.SetSettings(settings);
  for (const char* fields : {"", "Api-Key: unknown\r\n"}) {
    CHECK(fixture.Hold(daemon, fields).status_ == 503);
  }
  const auto response = fixture.Hold(daemon, AccessFixture::KeyField(kKey));
  CHECK(response.status_ == 503);
  CHECK(http::FindHeader(response.headers_, "Retry-After") == "0.250");
  CHECK(daemon.metrics_.access_refused_.Value(AccessRefusal::kViewTooOld) == 3);
  CHECK(fixture.HoldRequests().empty());
  CHECK(fixture
            .Send(daemon.options_.caller_listen_,
                  AccessFixture::Head("/open/1", ""))
            .status_ == 200);
}

namespace {

/// Two replicas of the service, the first of which keeps its request until the
/// test answers it.
struct HeldFixture : AccessFixture {
  HeldFixture() {
    replicas_.push_back(std::make_unique<FakeReplica>(loop_, "d1"));
    store_.Put("servers", "d1", replicas_[3]->Entry("hold"));
    for (size_t i = 2; i < 4; ++i) {
      replicas_[i]->handler_ = [this, i](const auto& caller,
                                         const auto& request) {
        held_.emplace_back(caller, request);
        replica_ = i;
      };
    }
  }

  /// Sends a request and waits until a replica has it.
  SharedResult StartHeld(const Daemon& daemon) {
    auto result = StartSend(daemon.options_.caller_listen_,
                            Head("/h5/1", KeyField(kKey)));
    REQUIRE(RunUntil([&] { return held_.size() == 1; }));
    return result;
  }

  void RemoveKey() {
    Put(6, {{{"name", "kami770"}, {"api_keys", {"second-key"}}}});
    REQUIRE(RunUntil([&] { return AllUseVersion(6); }));
  }

  /// Refuses the held request; it has not run.
  void Refuse() {
    held_[0].first->Respond({503, {{"X-Not-Executed", "1"}}, "", true}, false);
  }

  static int StatusOf(const SharedResult& result) {
    return *result ? (*result)->response_.status_ : 0;
  }

  std::vector<std::pair<FakeReplica::Caller, http::HttpRequest>> held_;
  size_t replica_ = 0;
};

}  // namespace

// Guards against attempts that leave after the key was removed.
TEST_CASE("no further attempt is sent after the key was removed", "[access]") {
  HeldFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const auto result = fixture.StartHeld(daemon);
  fixture.RemoveKey();
  fixture.Refuse();
  REQUIRE(fixture.RunUntil([&] { return result->has_value(); }));
  CHECK(HeldFixture::StatusOf(result) == 401);
  CHECK(fixture.held_.size() == 1);
  CHECK(daemon.metrics_.access_lost_.Value(AccessRefusal::kUnknownKey) == 1);
}

TEST_CASE("a retry is sent while the key is known", "[access]") {
  HeldFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const auto result = fixture.StartHeld(daemon);
  fixture.Refuse();
  REQUIRE(fixture.RunUntil([&] { return fixture.held_.size() == 2; }));
  CHECK(Field(fixture.held_[1].second, "X-Tenant") == "kami770");
  CHECK(CountFields(fixture.held_[1].second, "Api-Key") == 0);
}

// Guards against responses that are thrown away although their request ran.
TEST_CASE("an attempt in flight is used after the key was removed",
          "[access]") {
  HeldFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const auto result = fixture.StartHeld(daemon);
  fixture.RemoveKey();
  fixture.replicas_[fixture.replica_]->Respond(fixture.held_[0].first,
                                               fixture.held_[0].second);
  REQUIRE(fixture.RunUntil([&] { return result->has_value(); }));
  CHECK(HeldFixture::StatusOf(result) == 200);
}

TEST_CASE("no further attempt is sent once the proof has expired", "[access]") {
  HeldFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const auto result = fixture.StartHeld(daemon);
  GatewayOptions settings = daemon.options_;
  settings.limits_.max_view_age_ = milliseconds(4900);
  daemon.traffic_.SetSettings(settings);
  fixture.Refuse();
  REQUIRE(fixture.RunUntil([&] { return result->has_value(); }));
  CHECK(HeldFixture::StatusOf(result) == 503);
  CHECK(fixture.held_.size() == 1);
}

// Guards against a request that may have run and is reported as not run.
TEST_CASE("a request that may have run gets 502 after the key was removed",
          "[access]") {
  HeldFixture fixture;
  Daemon& daemon = fixture.StartReady();
  const auto result = fixture.StartHeld(daemon);
  fixture.RemoveKey();
  fixture.held_[0].first->Close();
  REQUIRE(fixture.RunUntil([&] { return result->has_value(); }));
  CHECK(HeldFixture::StatusOf(result) == 502);
  CHECK(fixture.held_.size() == 1);
}

}  // namespace clementinerill::gateway
