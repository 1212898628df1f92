#ifndef CLEMENTINERILL_DAEMON_EXPLAIN_RECORDER_H_
#define CLEMENTINERILL_DAEMON_EXPLAIN_RECORDER_H_

#include <mutex>
#include <optional>
#include <string>

#include "daemon/query_trace.h"
#include "explain/explain_log.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Keeps records of the recent queries of this daemon. Thread-safe.
class ExplainRecorder {
 public:
  /// @brief Adds a finished query.
  void Add(const std::string& route,
           const QueryAnswer& answer,
           QueryTrace trace,
           Instant now);

  /// @brief The records with this request id as a JSON array, newest first;
  /// `std::nullopt` when there is none.
  [[nodiscard]] std::optional<std::string> FindJson(
      const std::string& request_id,
      Instant now) const;

  /// @brief Summaries of the newest slow or incomplete queries.
  [[nodiscard]] std::string NotableJson(Instant now) const;

 private:
  mutable std::mutex mutex_;
  ExplainLog log_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_EXPLAIN_RECORDER_H_
