#ifndef CLEMENTINERILL_DAEMON_IDEMPOTENCY_TABLE_H_
#define CLEMENTINERILL_DAEMON_IDEMPOTENCY_TABLE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "daemon/query_request.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Running and completed requests with an idempotency key.
/// Thread-safe.
///
/// A request with a known key waits for the running request or gets its
/// outcome, which is kept for `kKeyLifetime`. A refusal, which was not run, is
/// not kept, so that the caller may retry. The table is held in memory only.
class IdempotencyTable {
 public:
  /// @brief Runs a request once for its key.
  /// @param run Called on this thread for the first request of the key.
  [[nodiscard]] QueryAnswer RunOnce(const QueryRequest& request,
                                    const std::function<QueryAnswer()>& run);

 private:
  struct Entry {
    std::string query_;
    std::optional<QueryAnswer> answer_;
    Instant completed_at_;
    std::condition_variable changed_;
  };
  using Key = std::pair<std::string, std::string>;

  [[nodiscard]] QueryAnswer Join(std::unique_lock<std::mutex>& lock,
                                 const std::shared_ptr<Entry>& entry,
                                 const QueryRequest& request);
  void Record(const Key& key,
              const std::shared_ptr<Entry>& entry,
              const QueryAnswer& answer);
  void RemoveExpired(Instant now);

  std::mutex mutex_;
  std::map<Key, std::shared_ptr<Entry>> entries_;
  std::deque<Key> completed_;  ///< Keys of completed requests, oldest first.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_IDEMPOTENCY_TABLE_H_
