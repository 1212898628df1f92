#ifndef CLEMENTINERILL_PEER_REPORT_H_
#define CLEMENTINERILL_PEER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peer/report_entry.h"

namespace clementinerill {

/// @brief Merged histograms of one pool for its judge.
struct Report {
  std::string pool_;
  uint64_t sequence_ = 0;  ///< Rises by one per report of the sender.
  uint32_t period_ms_ = 0;
  std::vector<ReportEntry> entries_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_REPORT_H_
