#include "capacity/spread.h"

namespace clementinerill::capacity {
namespace {

// Finalizer of SplitMix64.
uint64_t Mix(uint64_t value) noexcept {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

}  // namespace

double SpreadFraction(uint64_t seed,
                      uint64_t sequence,
                      uint64_t position) noexcept {
  const uint64_t mixed = Mix(Mix(Mix(seed) + sequence) + position);
  constexpr double kRange = 9007199254740992.0;  // 2^53
  return static_cast<double>(mixed >> 11U) / kRange;
}

}  // namespace clementinerill::capacity
