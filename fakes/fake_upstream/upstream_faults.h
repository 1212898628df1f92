#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_

#include <set>
#include <string>

namespace clementinerill {

/// @brief Faults that are switched on with `POST /fault`.
struct UpstreamFaults {
  double slow_factor_ = 1;     ///< Multiplies the time to run a request.
  bool fail_all_ = false;      ///< Answers 500 after running.
  bool shed_all_ = false;      ///< Refuses every request before running.
  bool lose_answers_ = false;  ///< Runs, then closes the connection.
  int cold_limit_ = 0;  ///< Requests that may run at once; zero when warm.
  /// Answers after which the limit doubles; the stand-in is warm once the
  /// limit would reach its slots. Zero: the limit stays.
  int cold_answers_ = 0;
  double cold_slow_factor_ = 1;  ///< Multiplies the run time while cold.
  /// No `X-Cold`; requests above the limit are shed.
  bool cold_silent_ = false;
  std::set<std::string> mute_peers_;  ///< Connections that get no answer.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_
