#ifndef CLEMENTINERILL_PEER_REPORT_ENTRY_H_
#define CLEMENTINERILL_PEER_REPORT_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace clementinerill {

/// @brief Request counts of one route and version in the report's period.
struct ReportEntry {
  std::string route_;
  std::string version_;
  uint64_t requests_ = 0;
  uint64_t errors_ = 0;
  std::vector<uint64_t> latency_counts_;  ///< Per histogram bin.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_REPORT_ENTRY_H_
