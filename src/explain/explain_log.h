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

/// @brief Recent queries of one daemon, for operators who ask what happened to
/// a request.
///
/// A query is notable when it is not complete or slow. Notable records have a
/// ring of their own, so that ordinary traffic does not evict them.
///
/// Not synchronised: the caller holds a lock during each call and for as long
/// as it uses the returned pointers, which the next `Add` invalidates.
class ExplainLog {
 public:
  explicit ExplainLog(const ExplainLimits& limits = {});

  /// @brief Adds a finished query; a record that fits into no ring is counted
  /// as dropped.
  void Add(ExplainedQuery query);

  /// @brief All records with this request id, in the order of their entry,
  /// newest first. Empty when none is kept any more. Reads every record: with
  /// the default limits up to about 30,000 records of fetches.
  [[nodiscard]] std::vector<const ExplainedQuery*> Find(
      std::string_view request_id) const;

  /// @brief The newest notable records, newest first.
  [[nodiscard]] std::vector<const ExplainedQuery*> NewestNotable(
      size_t count) const;

  /// @brief Bytes of all records; at most the sum of the limits.
  [[nodiscard]] size_t Bytes() const noexcept;

  /// @brief Records that fitted into no ring.
  [[nodiscard]] uint64_t Dropped() const noexcept { return dropped_; }

 private:
  Duration slow_threshold_;
  ExplainRing ordinary_;
  ExplainRing notable_;
  uint64_t dropped_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_LOG_H_
