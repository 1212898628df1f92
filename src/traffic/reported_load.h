#ifndef CLEMENTINERILL_TRAFFIC_REPORTED_LOAD_H_
#define CLEMENTINERILL_TRAFFIC_REPORTED_LOAD_H_

#include <optional>

namespace clementinerill::traffic {

/// @brief Load of all callers that a replica reports with a response.
struct ReportedLoad {
  int running_ = 0;
  int waiting_ = 0;
  int slots_ = 0;
  /// Pace of the replica's machine at this moment: 100 as usual, higher is
  /// slower; unset if the replica does not report it.
  std::optional<int> pace_ = {};
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPORTED_LOAD_H_
