#ifndef CLEMENTINERILL_EXPLAIN_EXPLAINED_QUERY_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAINED_QUERY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "explain/explained_part.h"

namespace clementinerill {

/// Outcome of a query whose answer is complete.
inline constexpr const char* kCompleteOutcome = "complete";

/// @brief Record of one finished query in this daemon.
///
/// Outcomes and reasons are stored by name, so that this library does not
/// depend on the library that defines them.
struct ExplainedQuery {
  std::string request_id_;  ///< Chosen by the caller; not unique.
  std::string route_;
  Instant received_;  ///< When the daemon received the query.
  Duration duration_{0};
  std::string outcome_;
  std::string reason_;   ///< Empty for `complete`.
  double coverage_ = 0;  ///< Share of the key space, from 0 to 1.
  std::vector<ExplainedPart> parts_;
  bool parts_omitted_ = false;  ///< The parts did not fit into the ring.
};

/// @brief Size of the record in bytes, including its strings and vectors but
/// not the overhead of the allocator.
[[nodiscard]] size_t BytesOf(const ExplainedQuery& query) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAINED_QUERY_H_
