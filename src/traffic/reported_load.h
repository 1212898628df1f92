#ifndef CLEMENTINERILL_TRAFFIC_REPORTED_LOAD_H_
#define CLEMENTINERILL_TRAFFIC_REPORTED_LOAD_H_

namespace clementinerill::traffic {

/// @brief Load of all callers that a replica reports with a response.
struct ReportedLoad {
  int running_ = 0;
  int waiting_ = 0;
  int slots_ = 0;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPORTED_LOAD_H_
