#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The most of these times, in ascending order, that lie within one second.
size_t MostInASecond(const std::vector<Instant>& times) {
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= seconds(1)) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

// Guards against cold replicas that crash as soon as they are back, because
// each daemon sends them a request a second.
TEST_CASE("nine daemons together keep the limit of a cold replica",
          "[gateway][cold]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  nlohmann::json configuration = GatewayFixture::Configuration(6);
  configuration["services"] = {
      {{"name", "hold"}, {"warmup_s", 60}, {"cold_per_s", 1}}};
  fixture.store_.Put("config", "main", configuration);
  FakeReplica& replica = *fixture.replicas_[2];
  nlohmann::json entry = replica.Entry("hold");
  entry["cold_remaining_ms"] = 60000;
  fixture.store_.Put("servers", "c1", entry);
  std::vector<Instant> arrivals;
  replica.handler_ = [&](const auto& caller, const auto& request) {
    arrivals.push_back(http::EventLoop::Now());
    replica.Respond(caller, request);
  };
  for (int i = 0; i < 9; ++i) {
    fixture.Start(fixture.Options("vm-" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  // Until all daemons know each other and use their shares.
  fixture.RunFor(seconds(3));
  const Instant end = http::EventLoop::Now() + milliseconds(2500);
  int number = 0;
  while (http::EventLoop::Now() < end) {
    const Daemon& daemon = *fixture.daemons_[static_cast<size_t>(number++) % 9];
    fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h6/1",
                "id-" + std::to_string(number));
  }
  // 1 x 1.5 + 5 requests are allowed.
  CHECK(MostInASecond(arrivals) <= 6);
  CHECK(MostInASecond(arrivals) >= 2);
}

}  // namespace
}  // namespace clementinerill::gateway
