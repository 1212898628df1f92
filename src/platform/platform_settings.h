#ifndef CLEMENTINERILL_PLATFORM_PLATFORM_SETTINGS_H_
#define CLEMENTINERILL_PLATFORM_PLATFORM_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/backoff.h"
#include "platform/retry_budget.h"

namespace clementinerill {

/// @brief Connection and retry settings of `PlatformClient`.
struct PlatformSettings {
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;
  std::string token_;  ///< Sent as `Authorization: Bearer` when not empty.
  /// Timeout of one attempt; a watch adds its own wait time.
  std::chrono::milliseconds call_timeout_{2'000};
  BackoffPolicy backoff_;
  RetryBudget retry_budget_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_PLATFORM_SETTINGS_H_
