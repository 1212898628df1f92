#ifndef CLEMENTINERILL_USAGE_REPORT_BOOK_H_
#define CLEMENTINERILL_USAGE_REPORT_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"

namespace clementinerill::usage {

/// @brief The counts of one window, as they are reported.
struct WindowReport {
  int64_t window_ = 0;
  std::map<std::string, int64_t> counts_;  ///< By organisation.
};

[[nodiscard]] inline bool operator==(const WindowReport& a,
                                     const WindowReport& b) {
  return a.window_ == b.window_ && a.counts_ == b.counts_;
}

/// @brief The state of the reports, kept in the duty object of the store.
///
/// A report is sent only once the store has confirmed the book that contains
/// it, so that a successor sends exactly the same.
struct ReportBook {
  /// The last window that was fixed or given up; none before the first one.
  std::optional<int64_t> last_window_;
  std::vector<WindowReport> unsent_;  ///< Oldest first.
};

[[nodiscard]] inline bool operator==(const ReportBook& a, const ReportBook& b) {
  return a.last_window_ == b.last_window_ && a.unsent_ == b.unsent_;
}

[[nodiscard]] std::string EncodeBook(const ReportBook& book);

/// @brief Decodes a book. An empty text is an empty book.
[[nodiscard]] Result<ReportBook> DecodeBook(const std::string& text);

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_REPORT_BOOK_H_
