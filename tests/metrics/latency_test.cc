#include <algorithm>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "metrics/latency_codec.h"
#include "metrics/latency_histogram.h"
#include "metrics/latency_recorder.h"

namespace clementinerill {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

// Log-uniformly distributed latencies within the range of the histogram.
std::vector<Duration> Latencies(unsigned seed, size_t count) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> exponent(std::log(51e-6),
                                                  std::log(59.0));
  std::vector<Duration> latencies;
  for (size_t i = 0; i < count; ++i) {
    latencies.push_back(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::exp(exponent(random)))));
  }
  return latencies;
}

LatencyHistogram HistogramOf(const std::vector<Duration>& latencies) {
  LatencyHistogram histogram;
  for (const Duration latency : latencies) {
    histogram.Add(latency);
  }
  return histogram;
}

// Guards against buckets that are too wide for the documented error.
TEST_CASE("a quantile is within 5% of the exact value", "[latency]") {
  std::vector<Duration> latencies = Latencies(1, 5'000);
  const LatencyHistogram histogram = HistogramOf(latencies);
  std::sort(latencies.begin(), latencies.end());
  for (const double q : {0.001, 0.1, 0.5, 0.9, 0.95, 0.99, 0.999, 1.0}) {
    const auto rank = static_cast<size_t>(std::ceil(q * 5'000));
    const auto exact = static_cast<double>(latencies[rank - 1].count());
    const auto found = static_cast<double>(Quantile(histogram, q)->count());
    CHECK(found / exact == Approx(1.0).epsilon(0.05));
  }
  for (int bucket = 1; bucket < kHistogramBuckets - 1; ++bucket) {
    CHECK(UpperBoundSeconds(bucket) / UpperBoundSeconds(bucket - 1) < 1.1);
  }
}

// Guards against lost counts and undefined values outside the range.
TEST_CASE("latencies outside the range are counted", "[latency]") {
  const LatencyHistogram histogram =
      HistogramOf({Duration(-5), Duration(0), microseconds(1), seconds(3'600)});
  CHECK(histogram.Count() == 4);
  CHECK(histogram.CountInBucket(0) == 3);
  CHECK(histogram.CountInBucket(kHistogramBuckets - 1) == 1);
  CHECK(histogram.Sum() == microseconds(1) + seconds(3'600));
  CHECK(Quantile(histogram, 0.5) == Duration(microseconds(50)));
  CHECK(Quantile(histogram, 1) == Duration(seconds(60)));
  CHECK_FALSE(Quantile(LatencyHistogram(), 0.5));
}

// Guards against a fleet-wide quantile that differs from the quantile over all
// latencies.
TEST_CASE("a merge equals the histogram of all latencies", "[latency]") {
  std::vector<Duration> all = Latencies(1, 1'000);
  const std::vector<Duration> more = Latencies(2, 2'000);
  LatencyHistogram merged = HistogramOf(all);
  merged.Merge(HistogramOf(more));
  all.insert(all.end(), more.begin(), more.end());
  CHECK(merged == HistogramOf(all));
}

// Guards against a histogram that changes when it is sent between daemons.
TEST_CASE("a histogram round-trips through its encoding", "[latency]") {
  const LatencyHistogram histogram = HistogramOf(Latencies(3, 1'000));
  const std::string bytes = EncodeLatencies(histogram);
  CHECK(DecodeLatencies(bytes) == histogram);
  CHECK(bytes.size() < 320);
  CHECK(EncodeLatencies(LatencyHistogram()).size() == 2);
  CHECK(DecodeLatencies(EncodeLatencies({})) == LatencyHistogram());
}

// Guards against a malformed message of a peer that accesses buckets out of
// range.
TEST_CASE("malformed bytes are errors", "[latency]") {
  const std::string largest = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01";
  const std::string start("\x01\x00", 2);
  const std::vector<std::string> tails = {
      "\x01",                           // no count
      "\x95\x01\x01",                   // bucket 149, one past the last
      "\x01\x01" + largest + "\x01",    // bucket index wraps around
      std::string("\x05\x00", 2),       // zero count
      "\x01" + largest + "\x01\x01",    // sum of counts overflows
      "\x01" + std::string(11, '\xff')  // varint too long
  };
  std::vector<std::string> malformed = {
      std::string(),               // no version
      std::string("\x02\x00", 2),  // unknown version
      std::string("\x01", 1),      // no sum
      "\x01" + largest,            // sum overflows Duration
      std::string("\x01\x80\x80\x80\x80\x80\x80\x80\x80\x80\x02",
                  11),  // 65-bit varint
  };
  for (const std::string& tail : tails) {
    malformed.push_back(start);
    malformed.back().append(tail);
  }
  for (const std::string& bytes : malformed) {
    CHECK_FALSE(DecodeLatencies(bytes));
  }
}

}  // namespace
}  // namespace clementinerill
