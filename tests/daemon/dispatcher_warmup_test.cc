#include <chrono>

#include <catch2/catch.hpp>

#include "daemon/dispatcher.h"
#include "test_table.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TestTable kSingle{1, 1, 3, 1, {0}, {}, {}, {}};
const Instant kStart = Instant() + seconds(100);

std::optional<DispatchGrant> GrantIn(Dispatcher& dispatcher,
                                     Instant now,
                                     const std::string& service = "s0") {
  const Route route = TestTable::SweepRoute();
  auto grant = dispatcher.Grant({route, service, {}, std::nullopt}, now);
  return grant ? std::optional(*grant) : std::nullopt;
}

void ObserveResponse(Dispatcher& dispatcher,
                     const DispatchGrant& grant,
                     std::optional<int> cold_limit,
                     Instant now) {
  ExchangeResult result;
  result.result_ = AttemptResult::kAnswered;
  result.signals_ = UpstreamSignals{"p", 0, cold_limit, std::nullopt};
  dispatcher.Observe(grant, result, milliseconds(4), now);
}

// Counts the requests that the dispatcher grants at once in service "s0".
int CountGrants(Dispatcher& dispatcher, Instant now) {
  std::vector<DispatchGrant> grants;
  while (const auto grant = GrantIn(dispatcher, now)) {
    grants.push_back(*grant);
  }
  for (const DispatchGrant& grant : grants) {
    dispatcher.Release(grant, now);
  }
  return static_cast<int>(grants.size());
}

// Guards against several daemons sending requests to one cold replica.
TEST_CASE("only the warm-up seat sends to a cold replica", "[daemon]") {
  std::vector<int> granted;
  for (int seat = 0; seat < 3; ++seat) {
    Dispatcher dispatcher;
    ApplyTable(dispatcher, TestTable{1, 1, 3, 3, {seat}, {}, {}, {}}, kStart);
    CHECK(CountGrants(dispatcher, kStart) == 1);
    dispatcher.ApplyColdMark({"s0-r0", 1, true}, kStart);
    granted.push_back(CountGrants(dispatcher, kStart));
  }
  std::sort(granted.begin(), granted.end());
  CHECK(granted == std::vector<int>{0, 0, 1});
}

// Guards against requests above the limit of a replica that announces a cold
// start, and against a ramp that advances with time instead of responses.
TEST_CASE("an announced cold start limits the replica to one", "[daemon]") {
  Dispatcher dispatcher;
  ApplyTable(dispatcher, kSingle, kStart);
  const auto first = GrantIn(dispatcher, kStart);
  const auto second = GrantIn(dispatcher, kStart);
  REQUIRE((first && second));
  ObserveResponse(dispatcher, *first, 1, kStart);
  CHECK(CountGrants(dispatcher, kStart) == 0);
  ObserveResponse(dispatcher, *second, 1, kStart);
  CHECK(CountGrants(dispatcher, kStart + seconds(60)) == 1);
}

// Guards against a mark that other daemons never see, that is echoed, or that
// is never withdrawn.
TEST_CASE("cold marks reach another daemon and are withdrawn", "[daemon]") {
  Dispatcher holder;
  Dispatcher other;
  ApplyTable(holder, kSingle, kStart);
  ApplyTable(other, kSingle, kStart);
  ObserveResponse(holder, *GrantIn(holder, kStart), 1, kStart);
  auto marks = holder.TakeColdMarks();
  REQUIRE(marks.size() == 1);
  CHECK((marks[0].upstream_ == "s0-r0" && marks[0].active_));
  CHECK(holder.TakeColdMarks().empty());
  other.ApplyColdMark(marks[0], kStart);
  CHECK(CountGrants(other, kStart) == 1);
  CHECK(other.TakeColdMarks().empty());

  const Instant later = kStart + seconds(20);
  for (int i = 0; i < 100; ++i) {
    if (const auto grant = GrantIn(holder, later)) {
      ObserveResponse(holder, *grant, std::nullopt, later);
    }
  }
  marks = holder.TakeColdMarks();
  REQUIRE(marks.size() == 1);
  CHECK_FALSE(marks[0].active_);
  other.ApplyColdMark(marks[0], later);
  CHECK(CountGrants(other, later) == 3);
}

// Guards against an advisory that is lost because it arrives before the
// configuration.
TEST_CASE("a mark of an unknown replica applies once it is known", "[daemon]") {
  Dispatcher dispatcher;
  dispatcher.ApplyColdMark({"s0-r0", 2, true}, kStart);
  dispatcher.ApplyColdMark({"s0-r0", 1, false}, kStart);
  ApplyTable(dispatcher, kSingle, kStart);
  CHECK(CountGrants(dispatcher, kStart) == 1);
}

// Guards against a returned failure domain that gets its full load at once,
// and against two domains of one service that warm up together.
TEST_CASE("a returned failure domain starts with a tenth of its slots",
          "[daemon]") {
  Dispatcher dispatcher;
  TestTable table{10, 3, 3, 1, {0}, {}, {}, {}};
  ApplyTable(dispatcher, table, kStart);
  table.domains_out_ = {"fd-0", "fd-1"};
  ApplyTable(dispatcher, table, kStart);
  CHECK(CountGrants(dispatcher, kStart) == 3);
  table.domains_out_ = {};
  ApplyTable(dispatcher, table, kStart);
  CHECK(dispatcher.TakeColdMarks().size() == 20);
  CHECK(CountGrants(dispatcher, kStart) == 3 + 1);
  int in_returned = 0;
  for (int s = 0; s < 10; ++s) {
    while (const auto grant =
               GrantIn(dispatcher, kStart, "s" + std::to_string(s))) {
      const auto& domain = grant->upstream_->upstream_.failure_domain_;
      in_returned += domain == "fd-2" ? 0 : 1;
    }
  }
  CHECK(in_returned == 3);
}

// Guards against a change of labels that resets a cold start or the slots in
// use.
TEST_CASE("new labels keep the warm-up state", "[daemon]") {
  Dispatcher dispatcher;
  TestTable table = kSingle;
  ApplyTable(dispatcher, table, kStart);
  ObserveResponse(dispatcher, *GrantIn(dispatcher, kStart), 1, kStart);
  const auto running = GrantIn(dispatcher, kStart);
  REQUIRE(running);
  table.labels_ = {{"tier", "gold"}};
  ApplyTable(dispatcher, table, kStart);
  CHECK(CountGrants(dispatcher, kStart) == 0);
  dispatcher.Release(*running, kStart);
  CHECK(CountGrants(dispatcher, kStart) == 1);
}

// Guards against a changed process or a cold flag that only a probe shows.
TEST_CASE("a probe reveals a cold start", "[daemon]") {
  Dispatcher dispatcher;
  ApplyTable(dispatcher, kSingle, kStart);
  UpstreamState& state = *dispatcher.Upstreams().at(0);
  dispatcher.ObserveSignals(state, {"p1", 0, std::nullopt, std::nullopt},
                            kStart);
  CHECK(CountGrants(dispatcher, kStart) == 3);
  dispatcher.ObserveSignals(state, {"p2", 0, std::nullopt, std::nullopt},
                            kStart);
  CHECK(CountGrants(dispatcher, kStart) == 1);
}

}  // namespace
}  // namespace clementinerill
