#ifndef CLEMENTINERILL_USAGE_REVISE_BOOK_H_
#define CLEMENTINERILL_USAGE_REVISE_BOOK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "usage/count_table.h"
#include "usage/report_book.h"
#include "usage/window.h"

namespace clementinerill::usage {

/// @brief Settings of the reports.
struct ReportSettings {
  std::chrono::milliseconds window_length_{5000};
  /// Time from the end of a window until its report is due.
  std::chrono::milliseconds delay_{10000};
};

/// Reports that are kept at most until they are acknowledged.
inline constexpr size_t kMaxUnsent = 8;

/// @brief Returns for how long after its end a window can be fixed or sent.
[[nodiscard]] std::chrono::milliseconds MaxReportAge(
    const ReportSettings& settings);

/// @brief Returns for how long after its end a window waits for the reports of
/// daemons that are missing.
[[nodiscard]] std::chrono::milliseconds CloseDelay(
    const ReportSettings& settings);

/// @brief Why a window is not reported.
enum class MissReason {
  kNotFixed,   ///< No daemon held the duty, or the store was unavailable.
  kNoCounts,   ///< No daemon's counts of the window were known.
  kNotSent,    ///< The usage API did not acknowledge the report in time.
  kRejected,   ///< The usage API rejected the report.
  kFixedOnce,  ///< Fixed before the store lost it; the counts are not known.
};

inline constexpr std::array<NameEntry<MissReason>, 5> kMissReasonNames = {{
    {MissReason::kNotFixed, "not_fixed"},
    {MissReason::kNoCounts, "no_counts"},
    {MissReason::kNotSent, "not_sent"},
    {MissReason::kRejected, "rejected"},
    {MissReason::kFixedOnce, "fixed_once"},
}};

struct MissedWindow {
  int64_t window_ = 0;
  MissReason reason_ = MissReason::kNotFixed;
  int64_t windows_ = 1;  ///< Including those that follow.
};

/// @brief A window that was fixed without the reports of all live daemons.
struct DoubtfulWindow {
  int64_t window_ = 0;
  std::vector<std::string> missing_;  ///< Daemons.
};

/// @brief What one daemon knows of the reports besides the book in the store.
struct ReportMemory {
  std::set<int64_t> acknowledged_;  ///< Windows of unsent reports.
  std::set<int64_t> rejected_;      ///< The same.
  /// Reports that were in the book at some time, for a store that returns from
  /// an older copy.
  std::map<int64_t, WindowReport> fixed_;
  std::optional<int64_t> last_window_;  ///< The latest of any book.
};

/// @brief Records a book that the store has confirmed.
void Remember(ReportMemory& memory, const ReportBook& book);

/// @brief A book that replaces the one in the store.
struct BookRevision {
  ReportBook book_;
  std::vector<MissedWindow> missed_;
  std::vector<DoubtfulWindow> doubtful_;
};

/// @brief Removes the reports that are acknowledged or too old from `book`, and
/// adds the windows that can be fixed at `now`, with their counts.
///
/// A window is fixed when all `daemons` that are alive have marked it, at the
/// latest `CloseDelay` after its end.
[[nodiscard]] BookRevision ReviseBook(const ReportBook& book,
                                      const ReportMemory& memory,
                                      const CountTable& table,
                                      const std::vector<std::string>& daemons,
                                      const ReportSettings& settings,
                                      WallTime now);

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_REVISE_BOOK_H_
