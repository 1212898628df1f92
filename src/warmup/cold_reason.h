#ifndef CLEMENTINERILL_WARMUP_COLD_REASON_H_
#define CLEMENTINERILL_WARMUP_COLD_REASON_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief The signal that marked a replica cold.
enum class ColdReason {
  kNone,            ///< The replica is warm.
  kNew,             ///< No daemon has sent to the replica yet.
  kProcessChanged,  ///< `X-Process-Id` differs from the known one.
  kAnnounced,       ///< An answer carried `X-Cold`.
  kSheds,           ///< The replica shed load within its slots.
  kLatencyStep,     ///< Slower than before, and its siblings are not.
  kDomainReturned,  ///< Its failure domain was returned to service.
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
