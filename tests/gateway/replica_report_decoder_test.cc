#include "gateway/replica_report_decoder.h"

#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "platform/node_settings.h"

namespace clementinerill::gateway {
namespace {

traffic::ReplicaReport Decode(int status, const http::Headers& headers) {
  http::HttpResponse response;
  response.status_ = status;
  response.headers_ = headers;
  return DecodeReplicaReport(response, platform_adapter::PlatformWireNames());
}

// Guards against a pause that is not kept, or that an unreadable header sets.
TEST_CASE("a refusal may ask for a pause", "[report]") {
  using std::chrono::milliseconds;
  CHECK(Decode(503, {{"Retry-After", "1.5"}}).pause_ == milliseconds(1500));
  CHECK(Decode(503, {{"Retry-After", "0"}}).pause_ == milliseconds(0));
  CHECK(Decode(503, {{"Retry-After", "1e9"}}).pause_ == std::nullopt);
  CHECK(Decode(503, {{"Retry-After", "999999999"}}).pause_ ==
        std::chrono::hours(1));
  CHECK_FALSE(Decode(200, {{"Retry-After", "1"}}).pause_);
  for (const char* text :
       {"", "-1", "soon", "1 s", "Sat, 05 Dec 2026 18:00:00 GMT"}) {
    INFO(text);
    CHECK_FALSE(Decode(503, {{"Retry-After", text}}).pause_);
  }
}

// Guards against a load that is lost because of an unusual fourth number, and
// against a pace that was never sent.
TEST_CASE("the load has an optional fourth number", "[report]") {
  const auto load = [](const char* text) {
    return Decode(200, {{"X-Server-Load", text}}).load_;
  };
  REQUIRE(load("3,1,4"));
  CHECK_FALSE(load("3,1,4")->pace_);
  CHECK(load("3,1,4")->slots_ == 4);
  CHECK(load("3,1,4,130")->pace_ == 130);
  CHECK(load("3,1,4,130")->running_ == 3);
  CHECK(load("3,1,4,99.6")->pace_ == 99);
  CHECK(load("3,1,4,1000000000")->pace_ == 100000);
  for (const char* text : {"3,1,4,", "3,1,4,0", "3,1,4,-5", "3,1,4,fast",
                           "3,1,4,100,7", "3,1,4,1e3"}) {
    INFO(text);
    REQUIRE(load(text));
    CHECK_FALSE(load(text)->pace_);
  }
  CHECK_FALSE(load("3,1"));
}

// Guards against a departure that is read from another value than the one that
// stands for it.
TEST_CASE("only one value reports a departure", "[report]") {
  const auto names = platform_adapter::PlatformWireNames();
  CHECK(ReportsDeparture({{"server-leaving", "1"}}, names));
  CHECK_FALSE(ReportsDeparture({{"Server-Leaving", "0"}}, names));
  CHECK_FALSE(ReportsDeparture({{"Server-Leaving", ""}}, names));
  CHECK_FALSE(ReportsDeparture({}, names));
}

}  // namespace
}  // namespace clementinerill::gateway
