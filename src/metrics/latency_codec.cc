#include "metrics/latency_codec.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace clementinerill {
namespace {

constexpr uint64_t kFormatVersion = 1;
constexpr int kBitsPerByte = 7;
constexpr unsigned kContinuationBit = 0x80;

void AppendVarint(std::string& bytes, uint64_t number) {
  while (number >= kContinuationBit) {
    bytes.push_back(static_cast<char>((number & 0x7f) | kContinuationBit));
    number >>= kBitsPerByte;
  }
  bytes.push_back(static_cast<char>(number));
}

std::optional<uint64_t> ReadVarint(std::string_view& bytes) {
  uint64_t number = 0;
  for (int shift = 0; shift < 64 && !bytes.empty(); shift += kBitsPerByte) {
    const uint64_t byte = static_cast<unsigned char>(bytes.front());
    const uint64_t bits = byte & 0x7f;
    bytes.remove_prefix(1);
    if ((bits << shift) >> shift != bits) {
      return std::nullopt;
    }
    number |= bits << shift;
    if ((byte & kContinuationBit) == 0) {
      return number;
    }
  }
  return std::nullopt;
}

// Adds the encoded buckets to `histogram`; false when they are malformed. The
// sum of the counts must not overflow, because quantile ranks are computed from
// it.
bool ReadBuckets(std::string_view bytes, LatencyHistogram& histogram) {
  uint64_t next_bucket = 0;
  uint64_t remaining = std::numeric_limits<uint64_t>::max();
  while (!bytes.empty()) {
    const auto skipped = ReadVarint(bytes);
    const auto count = ReadVarint(bytes);
    if (!skipped || !count || *count == 0 || *count > remaining ||
        *skipped >= kHistogramBuckets - next_bucket) {
      return false;
    }
    const uint64_t bucket = next_bucket + *skipped;
    histogram.AddToBucket(static_cast<int>(bucket), *count);
    remaining -= *count;
    next_bucket = bucket + 1;
  }
  return true;
}

}  // namespace

std::string EncodeLatencies(const LatencyHistogram& histogram) {
  std::string bytes;
  AppendVarint(bytes, kFormatVersion);
  AppendVarint(bytes, static_cast<uint64_t>(histogram.Sum().count()));
  int next_bucket = 0;
  for (int bucket = 0; bucket < kHistogramBuckets; ++bucket) {
    const uint64_t count = histogram.CountInBucket(bucket);
    if (count == 0) {
      continue;
    }
    AppendVarint(bytes, static_cast<uint64_t>(bucket - next_bucket));
    AppendVarint(bytes, count);
    next_bucket = bucket + 1;
  }
  return bytes;
}

Result<LatencyHistogram> DecodeLatencies(std::string_view bytes) {
  if (ReadVarint(bytes) != kFormatVersion) {
    return Fail("must be a latency histogram of format version 1");
  }
  const auto sum = ReadVarint(bytes);
  constexpr auto kMaxSum =
      static_cast<uint64_t>(std::numeric_limits<Duration::rep>::max());
  LatencyHistogram histogram;
  if (!sum || *sum > kMaxSum || !ReadBuckets(bytes, histogram)) {
    return Fail(
        "must be a complete latency histogram with buckets and counts in "
        "range");
  }
  histogram.AddToSum(Duration(static_cast<Duration::rep>(*sum)));
  return histogram;
}

}  // namespace clementinerill
