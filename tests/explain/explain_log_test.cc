#include "explain/explain_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "explain/explain_json.h"

namespace clementinerill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

ExplainedQuery Query(const std::string& id, int attempts = 1) {
  ExplainedQuery query;
  query.request_id_ = id;
  query.route_ = "search";
  query.outcome_ = "complete";
  query.duration_ = milliseconds(20);
  query.coverage_ = 1;
  ExplainedPart part{"claims-0", {}};
  for (int i = 0; i < attempts; ++i) {
    part.attempts_.push_back({"claims-0-a", milliseconds(1), milliseconds(15),
                              "answer", "primary", ""});
  }
  query.parts_.push_back(part);
  return query;
}

ExplainedQuery Refused(const std::string& id) {
  ExplainedQuery query = Query(id);
  query.outcome_ = "refused";
  return query;
}

// Guards against ordinary traffic evicting the records that operators need.
TEST_CASE("ordinary traffic does not evict notable queries", "[explain]") {
  ExplainLog log({10'000, 10'000, milliseconds(260)});
  log.Add(Query("first"));
  log.Add(Refused("refused"));
  ExplainedQuery slow = Query("slow");
  slow.duration_ = milliseconds(260);
  log.Add(slow);
  for (int i = 0; i < 1'000; ++i) {
    log.Add(Query("ordinary"));
  }
  CHECK(log.Find("first").empty());
  CHECK(log.Find("refused").size() == 1);
  CHECK(log.Find("slow").size() == 1);
  const auto notable = log.NewestNotable(1);
  REQUIRE(notable.size() == 1);
  CHECK(notable[0]->request_id_ == "slow");
  CHECK(log.NewestNotable(9).size() == 2);
}

// Guards against memory use that grows with the traffic or with the size of a
// single record.
TEST_CASE("memory use is bounded", "[explain]") {
  ExplainLog log({10'000, 20'000, milliseconds(260)});
  for (int i = 0; i < 500; ++i) {
    log.Add(Query("q", i % 7));
    log.Add(Refused("r"));
    REQUIRE(log.Bytes() <= 30'000);
  }
  CHECK(log.Bytes() > 28'000);
  log.Add(Query("large", 1'000));
  const auto large = log.Find("large");
  REQUIRE(large.size() == 1);
  CHECK(large[0]->parts_omitted_);
  CHECK(large[0]->parts_.empty());
  const size_t kept = log.Find("q").size();
  log.Add(Query(std::string(20'000, 'x')));
  CHECK(log.Dropped() == 1);
  CHECK(log.Find("q").size() == kept);
}

// Guards against a size that leaves out the strings or vectors of a record.
TEST_CASE("the size of a record includes its strings", "[explain]") {
  ExplainedQuery query = Query("q");
  const size_t before = BytesOf(query);
  query.parts_[0].attempts_[0].reason_ = std::string(1'000, 'x');
  CHECK(BytesOf(query) >= before + 900);
  CHECK(BytesOf(Query("q", 64)) >= before + 60 * sizeof(ExplainedAttempt));
}

// Guards against a reused request id hiding an earlier query.
TEST_CASE("all queries with an id are found, newest first", "[explain]") {
  ExplainLog log;
  const Instant start{};
  for (int i = 0; i < 3; ++i) {
    ExplainedQuery query = i == 1 ? Refused("same") : Query("same");
    query.received_ = start + milliseconds(i);
    log.Add(query);
  }
  const auto found = log.Find("same");
  REQUIRE(found.size() == 3);
  CHECK(found[0]->received_ == start + milliseconds(2));
  CHECK(found[1]->outcome_ == "refused");
  CHECK(found[2]->received_ == start);
}

// Guards against output that omits an attempt or uses a wrong unit, and against
// a request id with invalid UTF-8 that makes the output fail.
TEST_CASE("records are formatted as JSON", "[explain]") {
  ExplainedQuery query = Query("id\xff");
  query.received_ = Instant{} + milliseconds(100);
  query.parts_[0].attempts_.push_back({"claims-0-b", milliseconds(10),
                                       std::nullopt, "in_flight", "hedge",
                                       "above_p95"});
  const Instant now = Instant{} + milliseconds(350);
  const auto full =
      nlohmann::json::parse(ToJsonText({&query}, now, ExplainDetail::kFull));
  REQUIRE(full.size() == 1);
  CHECK(full[0]["request_id"] == "id\xef\xbf\xbd");
  CHECK(full[0]["age_us"] == 250'000);
  CHECK(full[0]["duration_us"] == 20'000);
  CHECK(full[0]["coverage"] == 1.0);
  CHECK(full[0]["parts_omitted"] == false);
  CHECK(full[0]["parts"][0]["attempts"][0]["duration_us"] == 15'000);
  const auto& hedge = full[0]["parts"][0]["attempts"][1];
  CHECK(hedge == nlohmann::json({{"replica", "claims-0-b"},
                                 {"start_us", 10'000},
                                 {"duration_us", nullptr},
                                 {"result", "in_flight"},
                                 {"trigger", "hedge"},
                                 {"reason", "above_p95"}}));
  const auto summary =
      nlohmann::json::parse(ToJsonText({&query}, now, ExplainDetail::kSummary));
  CHECK_FALSE(summary[0].contains("parts"));
  CHECK(ToJsonText({}, now, ExplainDetail::kFull) == "[]");
}

}  // namespace
}  // namespace clementinerill
