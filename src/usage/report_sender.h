#ifndef CLEMENTINERILL_USAGE_REPORT_SENDER_H_
#define CLEMENTINERILL_USAGE_REPORT_SENDER_H_

#include <optional>

#include "base/boot_instant.h"
#include "usage/revise_book.h"

namespace clementinerill::usage {

/// @brief Paces the calls of the usage API: one at a time, oldest window first,
/// with increasing delays after failures.
struct ReportSender {
  std::chrono::milliseconds min_interval_{};  ///< Between two calls.
  std::optional<int64_t> sending_;            ///< Window of the call in flight.
  BootInstant next_call_;
  int failures_ = 0;  ///< Calls that failed since the last success.
  std::optional<int64_t> last_acknowledged_;
};

/// @brief Returns the report of a confirmed book to send now, or null.
[[nodiscard]] const WindowReport* NextReport(const ReportSender& sender,
                                             const ReportMemory& memory,
                                             const ReportBook& confirmed,
                                             BootInstant now);

/// @brief How the usage API responded to a report.
enum class ReportOutcome {
  kAcknowledged,
  kRetry,     ///< No response, or an error that may pass.
  kRejected,  ///< The report itself is not accepted.
};

inline constexpr std::array<NameEntry<ReportOutcome>, 3> kReportOutcomeNames = {
    {
        {ReportOutcome::kAcknowledged, "acknowledged"},
        {ReportOutcome::kRetry, "retry"},
        {ReportOutcome::kRejected, "rejected"},
    }};

/// @brief Classifies the status of a response; 0 if there was none.
[[nodiscard]] ReportOutcome OutcomeOf(int status);

void StartCall(ReportSender& sender, int64_t window, BootInstant now);

/// @brief Records the response to the call in flight. `retry_after` is the
/// delay that the API asked for, or zero.
void FinishCall(ReportSender& sender,
                ReportMemory& memory,
                ReportOutcome outcome,
                std::chrono::milliseconds retry_after,
                BootInstant now);

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_REPORT_SENDER_H_
