#ifndef CLEMENTINERILL_PLATFORM_PLATFORM_CLIENT_H_
#define CLEMENTINERILL_PLATFORM_PLATFORM_CLIENT_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "platform/http_client.h"
#include "platform/platform_settings.h"
#include "platform/read_outcome.h"
#include "platform/vm.h"
#include "platform/write_outcome.h"

namespace clementinerill {

/// @brief Client of the platform's object store and VM list; thread-safe.
///
/// Calls block until they have an outcome or `deadline` passes. Failed attempts
/// are retried with jittered exponential backoff, within one retry budget per
/// client.
class PlatformClient {
 public:
  explicit PlatformClient(PlatformSettings settings);

  /// @brief Reads an object, retrying until `deadline`.
  [[nodiscard]] ReadOutcome Get(const std::string& key, Instant deadline);

  /// @brief Writes an object, retrying until `deadline`.
  ///
  /// `expected_version` is the version that the object must have, or 0 if it
  /// must not exist; without it the write is unconditional, which is safe only
  /// for objects with a single writer. After a lost response the client reads
  /// the object back and compares the member `change_id`, which must be unique
  /// to this write; a write of a value without one may end as `kUnknown`.
  [[nodiscard]] WriteOutcome Put(const std::string& key,
                                 const std::string& value,
                                 std::optional<uint64_t> expected_version,
                                 Instant deadline);

  /// @brief Waits up to `wait` for a version above `version`.
  ///
  /// Makes a single attempt; after a failure the caller retries with a delay of
  /// `DelayAfter(failures)`.
  [[nodiscard]] ReadOutcome Watch(const std::string& key,
                                  uint64_t version,
                                  std::chrono::milliseconds wait);

  /// @brief Reads the VM list, retrying until `deadline`.
  [[nodiscard]] Result<std::vector<Vm>> ListVms(Instant deadline);

  /// @brief Returns the jittered backoff delay after `failures` consecutive
  /// failed calls.
  [[nodiscard]] Duration DelayAfter(int failures);

  /// @brief Aborts pending calls for shutdown; they end as `kUnavailable` or
  /// `kUnknown`.
  void Stop() noexcept;

 private:
  struct PutState;

  [[nodiscard]] HttpExchange RunUntil(HttpCall call, Instant deadline);
  [[nodiscard]] HttpExchange RunWithRetries(const HttpCall& call,
                                            Instant deadline);
  [[nodiscard]] bool PauseBeforeRetry(int failures, Instant deadline);
  [[nodiscard]] std::optional<WriteOutcome>
  ResolveByReadBack(const std::string& key, PutState& state, Instant deadline);

  PlatformSettings settings_;
  HttpClient http_client_;
  std::mutex mutex_;
  std::condition_variable stop_signal_;
  RetryBudget budget_;
  std::mt19937_64 random_;
  bool stopped_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_PLATFORM_CLIENT_H_
