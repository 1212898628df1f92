#include "metrics/registry.h"

#include <thread>
#include <vector>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

enum class Reason { kShed, kDeadline };

constexpr std::array<NameEntry<Reason>, 2> kReasonNames = {
    {{Reason::kShed, "shed"}, {Reason::kDeadline, "deadline"}}};

// Guards against counts lost to data races, also between threads that share a
// shard.
TEST_CASE("counts are exact under many threads", "[registry]") {
  constexpr int kRounds = 20'000;
  const int thread_count = GENERATE(8, 40);
  MetricsRegistry registry;
  std::vector<std::thread> threads;
  threads.reserve(thread_count);
  for (int i = 0; i < thread_count; ++i) {
    threads.emplace_back([&registry] {
      auto reasons = registry.AddReasonCounters("r_total", "", kReasonNames);
      Gauge& gauge = registry.AddGauge("g", "");
      LatencyRecorder& latency = registry.AddLatencyHistogram("l", "");
      for (int round = 0; round < kRounds; ++round) {
        reasons.Increment(Reason::kDeadline);
        gauge.Add(2);
        latency.Record(std::chrono::milliseconds(10));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto total = static_cast<uint64_t>(thread_count) * kRounds;
  const auto reasons = registry.AddReasonCounters("r_total", "", kReasonNames);
  CHECK(reasons.Value(Reason::kDeadline) == total);
  CHECK(reasons.Value(Reason::kShed) == 0);
  CHECK(registry.AddGauge("g", "").Value() == static_cast<int64_t>(2 * total));
  const auto snapshot = registry.AddLatencyHistogram("l", "").Snapshot();
  CHECK(snapshot.Count() == total);
  CHECK(snapshot.Sum() == total * std::chrono::milliseconds(10));
}

// Guards against output that Prometheus rejects or misparses.
TEST_CASE("samples follow the exposition format", "[registry]") {
  MetricsRegistry registry;
  registry
      .AddCounter("b_total", "Back\\slash,\nnew line.",
                  {{"route", "a\"b\\c\nd"}, {"pool", "p"}})
      .Increment(7);
  registry.AddGauge("a", "A \"gauge\".").Set(-3);
  auto reasons = registry.AddReasonCounters("c_total", "C.", kReasonNames);
  reasons.Increment(Reason::kShed);
  CHECK(registry.PrometheusText() ==
        "# HELP a A \"gauge\".\n"
        "# TYPE a gauge\n"
        "a -3\n"
        "# HELP b_total Back\\\\slash,\\nnew line.\n"
        "# TYPE b_total counter\n"
        "b_total{pool=\"p\",route=\"a\\\"b\\\\c\\nd\"} 7\n"
        "# HELP c_total C.\n"
        "# TYPE c_total counter\n"
        "c_total{reason=\"deadline\"} 0\n"
        "c_total{reason=\"shed\"} 1\n");
}

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = text.find('\n', begin);
    lines.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return lines;
}

// Guards against buckets that are not cumulative and against a count that
// differs from the last bucket.
TEST_CASE("histograms have buckets, sum and count", "[registry]") {
  MetricsRegistry registry;
  LatencyRecorder& latency =
      registry.AddLatencyHistogram("l_seconds", "L.", {{"route", "search"}});
  latency.Record(std::chrono::microseconds(10));
  latency.Record(std::chrono::milliseconds(250));
  latency.Record(std::chrono::seconds(100));
  const auto lines = LinesOf(registry.PrometheusText());
  REQUIRE(lines.size() == 2 + kHistogramBuckets + 2);
  CHECK(lines[1] == "# TYPE l_seconds histogram");
  CHECK(lines[2] == "l_seconds_bucket{le=\"5e-05\",route=\"search\"} 1");
  CHECK(lines[149] == "l_seconds_bucket{le=\"60\",route=\"search\"} 2");
  CHECK(lines[150] == "l_seconds_bucket{le=\"+Inf\",route=\"search\"} 3");
  CHECK(lines[151] == "l_seconds_sum{route=\"search\"} 100.25001");
  CHECK(lines[152] == "l_seconds_count{route=\"search\"} 3");
}

}  // namespace
}  // namespace clementinerill
