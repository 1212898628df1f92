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
  std::set<std::string> mute_peers_;  ///< Connections that get no answer.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_FAULTS_H_
