#include "logging/log_threshold.h"

namespace clementinerill {

std::atomic<LogLevel>& LogThreshold() noexcept {
  static std::atomic<LogLevel> threshold{LogLevel::kInfo};
  return threshold;
}

}  // namespace clementinerill
