#ifndef CLEMENTINERILL_PEER_REPORT_H_
#define CLEMENTINERILL_PEER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peer/report_entry.h"

namespace clementinerill {

/// @brief Merged request counts and histograms of one pool, sent to the daemon
/// that evaluates the pool's rollout.
struct Report {
  std::string pool_;
  uint64_t sequence_ = 0;  ///< Incremented with every report of the sender.
  uint32_t period_ms_ = 0;
  std::vector<ReportEntry> entries_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_REPORT_H_
