#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

/// A daemon and one replica of the service `hold`, which answers all requests
/// with one status.
struct RefusalFixture : GatewayFixture {
  RefusalFixture(const std::string& kind,
                 int status,
                 const http::Headers& headers) {
    PutEverything();
    nlohmann::json configuration = Configuration(5);
    configuration["routes"][1]["kind"] = kind;
    store_.Put("config", "main", configuration);
    replicas_[2]->handler_ = [status, headers](const auto& caller,
                                               const auto& request) {
      http::HttpResponse response;
      response.status_ = status;
      response.headers_ = headers;
      response.headers_.emplace_back(
          "X-Request-Id",
          std::string(http::FindHeader(request.headers_, "X-Request-Id")));
      response.headers_.emplace_back("X-Server-Stamp", "stamp");
      caller->Respond(response, false);
    };
    daemon_ = &Start(Options("vm-1"));
    REQUIRE(RunUntil([this] { return IsReady(*daemon_); }));
  }

  http::HttpResponse Hold() {
    return Get(daemon_->options_.caller_listen_, "hold.example", "/h5/1");
  }

  Daemon* daemon_ = nullptr;
};

// Guards against a request that runs twice: callers repeat it after a status
// that says that it has not run, and only the header says whether that is true.
TEST_CASE("a refusal of a replica that may have run the request is a failure",
          "[gateway][refusal]") {
  const std::string kind = GENERATE("unsafe", "safe");
  const int status = GENERATE(408, 429, 503);
  INFO(kind << " " << status);
  RefusalFixture fixture(kind, status, {{"Retry-After", "0.1"}});
  const auto response = fixture.Hold();
  CHECK(response.status_ == 502);
  CHECK(http::FindHeader(response.headers_, "X-Server-Stamp").empty());
  CHECK(http::FindHeader(response.headers_, "Retry-After").empty());
  CHECK(fixture.replicas_[2]->requests_.size() == 1);
  CHECK(fixture.daemon_->metrics_.attempts_.Value(
            traffic::AttemptOutcome::kFailed) == 1);
}

// Guards against true refusals that are turned into failures, which callers may
// not repeat.
TEST_CASE("a refusal of a replica that has not run the request is passed on",
          "[gateway][refusal]") {
  const int status = GENERATE(408, 429, 503);
  INFO(status);
  RefusalFixture fixture("unsafe", status, {{"X-Not-Executed", "1"}});
  CHECK(fixture.Hold().status_ == 503);
}

// Guards against other failures of the client that are no longer passed on.
TEST_CASE("a client error of a replica is passed on", "[gateway][refusal]") {
  const int status = GENERATE(400, 404, 409, 418);
  INFO(status);
  RefusalFixture fixture("unsafe", status, {});
  const auto response = fixture.Hold();
  CHECK(response.status_ == status);
  CHECK(http::FindHeader(response.headers_, "X-Server-Stamp") == "stamp");
}

}  // namespace
}  // namespace clementinerill::gateway
