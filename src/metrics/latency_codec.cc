#include "metrics/latency_codec.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace clementinerill {
namespace {

constexpr uint64_t kFormatVersion = 1;
constexpr int kBitsPerByte = 7;
constexpr unsigned kMoreFollows = 0x80;

void AppendNumber(std::string& bytes, uint64_t number) {
  while (number >= kMoreFollows) {
    bytes.push_back(static_cast<char>((number & 0x7f) | kMoreFollows));
    number >>= kBitsPerByte;
  }
  bytes.push_back(static_cast<char>(number));
}

std::optional<uint64_t> TakeNumber(std::string_view& bytes) {
  uint64_t number = 0;
  for (int shift = 0; shift < 64 && !bytes.empty(); shift += kBitsPerByte) {
    const uint64_t byte = static_cast<unsigned char>(bytes.front());
    const uint64_t bits = byte & 0x7f;
    bytes.remove_prefix(1);
    if ((bits << shift) >> shift != bits) {
      return std::nullopt;
    }
    number |= bits << shift;
    if ((byte & kMoreFollows) == 0) {
      return number;
    }
  }
  return std::nullopt;
}

// Adds the cells in `bytes`; false when they are malformed. The counts must
// not overflow in total, because their sum is the rank of a quantile.
bool TakeCells(std::string_view bytes, LatencyHistogram& histogram) {
  uint64_t next_cell = 0;
  uint64_t left = std::numeric_limits<uint64_t>::max();
  while (!bytes.empty()) {
    const auto distance = TakeNumber(bytes);
    const auto count = TakeNumber(bytes);
    if (!distance || !count || *count == 0 || *count > left ||
        *distance >= kLatencyCells - next_cell) {
      return false;
    }
    const uint64_t cell = next_cell + *distance;
    histogram.AddToCell(static_cast<int>(cell), *count);
    left -= *count;
    next_cell = cell + 1;
  }
  return true;
}

}  // namespace

std::string EncodeLatencies(const LatencyHistogram& histogram) {
  std::string bytes;
  AppendNumber(bytes, kFormatVersion);
  AppendNumber(bytes, static_cast<uint64_t>(histogram.Sum().count()));
  int next_cell = 0;
  for (int cell = 0; cell < kLatencyCells; ++cell) {
    const uint64_t count = histogram.CellCount(cell);
    if (count == 0) {
      continue;
    }
    AppendNumber(bytes, static_cast<uint64_t>(cell - next_cell));
    AppendNumber(bytes, count);
    next_cell = cell + 1;
  }
  return bytes;
}

Result<LatencyHistogram> DecodeLatencies(std::string_view bytes) {
  if (TakeNumber(bytes) != kFormatVersion) {
    return Fail("must be a latency histogram of format version 1");
  }
  const auto sum = TakeNumber(bytes);
  constexpr auto kMostSum =
      static_cast<uint64_t>(std::numeric_limits<Duration::rep>::max());
  LatencyHistogram histogram;
  if (!sum || *sum > kMostSum || !TakeCells(bytes, histogram)) {
    return Fail("must be a complete latency histogram");
  }
  histogram.AddToSum(Duration(static_cast<Duration::rep>(*sum)));
  return histogram;
}

}  // namespace clementinerill
