#ifndef CLEMENTINERILL_TRAFFIC_DUTY_STATUS_H_
#define CLEMENTINERILL_TRAFFIC_DUTY_STATUS_H_

#include <cstdint>
#include <string>

namespace clementinerill::traffic {

/// @brief What this daemon knows of a duty, for the status page.
struct DutyStatus {
  std::string name_;
  std::string holder_;    ///< As last read or written; empty if unknown.
  int64_t token_ = 0;     ///< Of that holder.
  bool is_held_ = false;  ///< By this daemon.
  bool is_candidate_ = false;
};

[[nodiscard]] inline bool operator==(const DutyStatus& a, const DutyStatus& b) {
  return a.name_ == b.name_ && a.holder_ == b.holder_ && a.token_ == b.token_ &&
         a.is_held_ == b.is_held_ && a.is_candidate_ == b.is_candidate_;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_DUTY_STATUS_H_
