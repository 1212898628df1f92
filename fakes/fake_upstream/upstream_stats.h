#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_STATS_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_STATS_H_

#include <cstdint>
#include <map>
#include <string>

namespace clementinerill {

/// @brief What one upstream stand-in has seen, for `GET /stats`.
struct UpstreamStats {
  uint64_t received_ = 0;   ///< Requests received, run or not.
  uint64_t started_ = 0;    ///< Requests that began to run.
  uint64_t finished_ = 0;   ///< Requests that ran to their end.
  uint64_t shed_ = 0;       ///< Refused for lack of a slot.
  uint64_t cold_over_ = 0;  ///< Received while the cold limit was used up.
  uint64_t cancelled_ = 0;
  int most_running_ = 0;      ///< Received or running at once, at most.
  int most_connections_ = 0;  ///< Open connections at once, at most.
  std::map<std::string, int> runs_by_query_;  ///< For holds only.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_STATS_H_
