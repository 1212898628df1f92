#include "metrics/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace clementinerill {
namespace {

// The axis numbers the cell below the range -1.
constexpr int kFirstAxisIndex = -1;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

Duration MiddleOfCell(int cell) {
  if (cell == 0) {
    return FromSeconds(kShortestLatencySeconds);
  }
  if (cell == kLatencyCells - 1) {
    return FromSeconds(kLongestLatencySeconds);
  }
  return FromSeconds(
      std::sqrt(UpperEdgeSeconds(cell - 1) * UpperEdgeSeconds(cell)));
}

}  // namespace

LatencyHistogram::LatencyHistogram() : cells_(MakeLatencyAxis()) {}

void LatencyHistogram::Add(Duration latency) {
  cells_(ToAxisSeconds(latency));
  sum_ += std::max(latency, Duration::zero());
}

void LatencyHistogram::AddToCell(int cell, uint64_t count) {
  cells_.at(cell + kFirstAxisIndex) += count;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  cells_ += other.cells_;
  sum_ += other.sum_;
}

uint64_t LatencyHistogram::CellCount(int cell) const {
  return cells_.at(cell + kFirstAxisIndex);
}

uint64_t LatencyHistogram::Count() const {
  uint64_t count = 0;
  for (const uint64_t cell : cells_) {
    count += cell;
  }
  return count;
}

bool LatencyHistogram::operator==(const LatencyHistogram& other) const {
  return sum_ == other.sum_ && cells_ == other.cells_;
}

double UpperEdgeSeconds(int cell) {
  static const LatencyAxis axis = MakeLatencyAxis();
  return cell == kLatencyCells - 1 ? std::numeric_limits<double>::infinity()
                                   : axis.value(cell);
}

std::optional<Duration> Quantile(const LatencyHistogram& histogram, double q) {
  const uint64_t count = histogram.Count();
  if (count == 0) {
    return std::nullopt;
  }
  const double share = std::clamp(q, 0.0, 1.0) * static_cast<double>(count);
  const uint64_t rank =
      std::clamp<uint64_t>(static_cast<uint64_t>(std::ceil(share)), 1, count);
  uint64_t seen = 0;
  int cell = -1;
  while (seen < rank) {
    ++cell;
    seen += histogram.CellCount(cell);
  }
  return MiddleOfCell(cell);
}

}  // namespace clementinerill
