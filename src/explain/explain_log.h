#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_LOG_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "explain/explain_limits.h"
#include "explain/explain_ring.h"
#include "explain/explained_query.h"

namespace clementinerill {

/// @brief Records of the recent queries of one daemon, with which operators
/// diagnose individual requests.
///
/// A query is notable if it is incomplete or slow. Notable records are kept in
/// a separate ring, so that ordinary traffic does not evict them.
///
/// Not thread-safe: the caller must hold a lock during each call and while it
/// uses the returned pointers, which the next `Add` invalidates.
class ExplainLog {
 public:
  explicit ExplainLog(const ExplainLimits& limits = {});

  /// @brief Adds a finished query. A record too large for its ring is dropped
  /// and counted.
  void Add(ExplainedQuery query);

  /// @brief Returns all records with this request id, latest received first;
  /// empty if none is left. Scans every record: up to about 30,000 records of
  /// single-upstream queries with the default limits.
  [[nodiscard]] std::vector<const ExplainedQuery*> Find(
      std::string_view request_id) const;

  /// @brief Returns up to `count` notable records, newest first.
  [[nodiscard]] std::vector<const ExplainedQuery*> NewestNotable(
      size_t count) const;

  /// @brief Size of all records in bytes; at most the sum of the limits.
  [[nodiscard]] size_t Bytes() const noexcept;

  /// @brief Number of records dropped because they were too large.
  [[nodiscard]] uint64_t Dropped() const noexcept { return dropped_; }

 private:
  Duration slow_threshold_;
  ExplainRing ordinary_;
  ExplainRing notable_;
  uint64_t dropped_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_LOG_H_
