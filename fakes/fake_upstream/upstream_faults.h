#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_

#include <set>
#include <string>

namespace clementinerill {

/// @brief Faults injected with `POST /fault`.
struct UpstreamFaults {
  double slow_factor_ = 1;     ///< Multiplies the service time.
  bool fail_all_ = false;      ///< Responds with 500 after executing.
  bool shed_all_ = false;      ///< Sheds every request without executing it.
  bool lose_answers_ = false;  ///< Executes, then closes the connection.
  int cold_limit_ = 0;         ///< Concurrency limit while cold; 0 when warm.
  /// Responses after which the cold limit doubles. The upstream is warm once
  /// the limit would reach its number of slots. Zero keeps the limit constant.
  int cold_answers_ = 0;
  double cold_slow_factor_ = 1;  ///< Multiplies the service time while cold.
  /// Omits `X-Cold` and sheds requests above the cold limit.
  bool cold_silent_ = false;
  std::set<std::string> mute_peers_;  ///< Connections that get no response.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_
