#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_STATS_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_STATS_H_

#include <cstdint>
#include <map>
#include <string>

namespace clementinerill {

/// @brief Counters of one fake upstream, as reported by `GET /stats`.
struct UpstreamStats {
  uint64_t received_ = 0;   ///< Requests received, executed or not.
  uint64_t started_ = 0;    ///< Requests whose execution started.
  uint64_t finished_ = 0;   ///< Requests executed to completion.
  uint64_t shed_ = 0;       ///< Rejected for lack of a slot.
  uint64_t cold_over_ = 0;  ///< Received while at the cold limit.
  uint64_t cancelled_ = 0;
  int most_running_ = 0;  ///< Peak concurrency, including rejected requests.
  int most_connections_ = 0;  ///< Peak number of open connections.
  std::map<std::string, int> runs_by_query_;  ///< Executions of holds only.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_STATS_H_
