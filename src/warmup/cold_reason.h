#ifndef CLEMENTINERILL_WARMUP_COLD_REASON_H_
#define CLEMENTINERILL_WARMUP_COLD_REASON_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Why a replica is considered cold.
enum class ColdReason {
  kNone,            ///< The replica is warm.
  kNew,             ///< No daemon has sent requests to the replica yet.
  kProcessChanged,  ///< `X-Process-Id` changed.
  kAnnounced,       ///< A response carried `X-Cold`.
  kSheds,           ///< The replica shed requests within its slot limit.
  kLatencyStep,     ///< Latency rose while that of its siblings did not.
  kDomainReturned,  ///< Its failure domain returned to service.
  kAdvisory,        ///< Another daemon marked the replica cold.
};

inline constexpr std::array<NameEntry<ColdReason>, 8> kColdReasonNames = {{
    {ColdReason::kNone, "none"},
    {ColdReason::kNew, "new"},
    {ColdReason::kProcessChanged, "process_changed"},
    {ColdReason::kAnnounced, "announced"},
    {ColdReason::kSheds, "sheds"},
    {ColdReason::kLatencyStep, "latency_step"},
    {ColdReason::kDomainReturned, "domain_returned"},
    {ColdReason::kAdvisory, "advisory"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_COLD_REASON_H_
