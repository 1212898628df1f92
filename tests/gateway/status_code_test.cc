#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"
#include "http/test_server.h"

namespace clementinerill::gateway {
namespace {

using traffic::AttemptOutcome;

/// A daemon and a replica that answers with a head of one status, without a
/// body, and leaves its connections open.
struct StatusFixture : GatewayFixture {
  StatusFixture(const std::string& replica,
                const std::string& service,
                const std::string& status)
      : faulty_(loop_, [status](const std::string& /*head*/) {
          return http::TestServer::Reply{
              "HTTP/1.1 " + status +
                  " Odd\r\nX-Server-Stamp: stamp\r\nX-Not-Executed: 1\r\n\r\n",
              false};
        }) {
    PutEverything();
    nlohmann::json entry = replicas_[0]->Entry(service);
    entry["address"] = "127.0.0.1:" + std::to_string(faulty_.Port());
    store_.Put("servers", replica, entry);
    daemon_ = &Start(Options("vm-1"));
    REQUIRE(RunUntil([this] { return IsReady(*daemon_); }));
  }

  http::TestServer faulty_;
  Daemon* daemon_ = nullptr;
};

}  // namespace

// Guards against a status outside RFC 9110, section 15, that costs the deadline
// (an unsolicited 101), is passed on, or is believed when it says that the
// request has not run.
TEST_CASE("a status that no response can have gives 502 at once",
          "[gateway][status]") {
  const std::string status = GENERATE("101", "600", "999");
  INFO(status);
  StatusFixture fixture("c1", "hold", status);
  const auto response = fixture.Get(fixture.daemon_->options_.caller_listen_,
                                    "hold.example", "/h5/1");
  CHECK(response.status_ == 502);
  CHECK(fixture.daemon_->metrics_.attempts_.Value(AttemptOutcome::kGarbled) ==
        1);
}

// Guards against the same in a part of a fan-out query, whose other parts are
// still served.
TEST_CASE("a part with a status that no response can have is missing",
          "[gateway][status]") {
  const std::string status = GENERATE("101", "600");
  INFO(status);
  StatusFixture fixture("a1", "shard-a", status);
  const auto response = fixture.FanOut(*fixture.daemon_);
  CHECK(response.status_ == 200);
  CHECK(http::FindHeader(response.headers_, "X-Missing-Parts") == "1");
  CHECK(fixture.daemon_->metrics_.attempts_.Value(AttemptOutcome::kGarbled) >
        0);
}

// Guards against a call of the store that waits for its timeout.
TEST_CASE("a status that no response can have is a failure of the store",
          "[gateway][status]") {
  const std::string status = GENERATE("101", "600");
  INFO(status);
  GatewayFixture fixture;
  http::TestServer store(fixture.loop_, [status](const std::string& /*head*/) {
    return http::TestServer::Reply{"HTTP/1.1 " + status + " Odd\r\n\r\n",
                                   false};
  });
  GatewayOptions options = fixture.Options("vm-1");
  options.store_ = {"127.0.0.1", store.Port()};
  Daemon& daemon = fixture.Start(options);
  fixture.RunFor(std::chrono::milliseconds(1000));
  CHECK(daemon.metrics_.store_failures_.Value() > 0);
}

}  // namespace clementinerill::gateway
