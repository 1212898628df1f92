#include "usage/revise_book.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace clementinerill::usage {
namespace {

using std::chrono::milliseconds;

// Share of the delay for which a window waits for missing reports. The rest is
// for the write to the store, the call and a few retries.
constexpr double kCloseShare = 0.6;
// A daemon that has marked none of this many windows before a window counts as
// gone: its record may remain for minutes.
constexpr int64_t kMaxSilentWindows = 2;
// Windows for which reports are remembered.
constexpr size_t kMaxRemembered = 2 * kMaxUnsent;

// Daemons that are alive and have not marked `window`.
std::vector<std::string> MissingDaemons(
    const std::map<std::string, int64_t>& last_marks,
    const std::vector<std::string>& daemons,
    int64_t window) {
  std::vector<std::string> missing;
  for (const std::string& daemon : daemons) {
    const auto mark = last_marks.find(DaemonKey(daemon));
    if (mark == last_marks.end() ||
        (mark->second < window && mark->second >= window - kMaxSilentWindows)) {
      missing.push_back(daemon);
    }
  }
  return missing;
}

void RemoveEnded(BookRevision& revision,
                 const ReportMemory& memory,
                 const ReportSettings& settings,
                 WallTime now) {
  auto& unsent = revision.book_.unsent_;
  const auto is_ended = [&](const WindowReport& report) {
    const int64_t window = report.window_;
    if (memory.acknowledged_.count(window) > 0) {
      return true;
    }
    if (memory.rejected_.count(window) > 0) {
      revision.missed_.push_back({window, MissReason::kRejected});
      return true;
    }
    const bool is_late = now - WindowEnd(window, settings.window_length_) >
                         MaxReportAge(settings);
    if (is_late) {
      revision.missed_.push_back({window, MissReason::kNotSent});
    }
    return is_late;
  };
  unsent.erase(std::remove_if(unsent.begin(), unsent.end(), is_ended),
               unsent.end());
}

// Windows after it have not begun: a book that names one was written by a
// daemon with a wrong time.
int64_t LatestPossible(const ReportSettings& settings, WallTime now) {
  return WindowAt(now, settings.window_length_);
}

enum class Step { kWait, kNext };

// Repeats what was fixed before the store lost it.
Step FixAgain(BookRevision& revision,
              const ReportMemory& memory,
              int64_t window) {
  const auto known = memory.fixed_.find(window);
  if (known == memory.fixed_.end()) {
    revision.missed_.push_back({window, MissReason::kFixedOnce});
  } else if (memory.acknowledged_.count(window) == 0) {
    revision.book_.unsent_.push_back(known->second);
  }
  return Step::kNext;
}

Step Fix(BookRevision& revision,
         const ReportMemory& memory,
         const CountTable& table,
         const std::vector<std::string>& missing,
         const ReportSettings& settings,
         int64_t window,
         WallTime now) {
  const bool is_known = memory.last_window_ && window <= *memory.last_window_ &&
                        *memory.last_window_ <= LatestPossible(settings, now);
  if (is_known) {
    return FixAgain(revision, memory, window);
  }
  const auto age = now - WindowEnd(window, settings.window_length_);
  const bool must_close = age >= CloseDelay(settings);
  if (!must_close && !missing.empty()) {
    return Step::kWait;
  }
  if (!HasMarks(table, window)) {
    // The counts of others reach a daemon that has just started later.
    if (age < settings.delay_ + 2 * settings.window_length_) {
      return Step::kWait;
    }
    revision.missed_.push_back({window, MissReason::kNoCounts});
    return Step::kNext;
  }
  if (!missing.empty()) {
    revision.doubtful_.push_back({window, missing});
  }
  revision.book_.unsent_.push_back({window, SumOf(table, window)});
  return Step::kNext;
}

// Gives up the windows that are too old to be fixed.
void SkipOld(BookRevision& revision,
             const ReportSettings& settings,
             WallTime now) {
  const int64_t oldest =
      WindowAt(now - MaxReportAge(settings), settings.window_length_);
  const int64_t next = *revision.book_.last_window_ + 1;
  if (next < oldest) {
    revision.missed_.push_back({next, MissReason::kNotFixed, oldest - next});
    revision.book_.last_window_ = oldest - 1;
  }
}

}  // namespace

milliseconds MaxReportAge(const ReportSettings& settings) {
  return std::max(settings.window_length_ * static_cast<int>(kMaxUnsent),
                  settings.delay_ + 2 * settings.window_length_);
}

milliseconds CloseDelay(const ReportSettings& settings) {
  return std::chrono::duration_cast<milliseconds>(settings.delay_ *
                                                  kCloseShare);
}

void Remember(ReportMemory& memory, const ReportBook& book) {
  if (book.last_window_) {
    memory.last_window_ = std::max(
        memory.last_window_.value_or(*book.last_window_), *book.last_window_);
  }
  for (const WindowReport& report : book.unsent_) {
    memory.fixed_.emplace(report.window_, report);
  }
  const auto forget = [](auto& windows) {
    while (windows.size() > kMaxRemembered) {
      windows.erase(windows.begin());
    }
  };
  forget(memory.fixed_);
  forget(memory.acknowledged_);
  forget(memory.rejected_);
}

BookRevision ReviseBook(const ReportBook& book,
                        const ReportMemory& memory,
                        const CountTable& table,
                        const std::vector<std::string>& daemons,
                        const ReportSettings& settings,
                        WallTime now) {
  BookRevision revision;
  revision.book_ = book;
  RemoveEnded(revision, memory, settings, now);
  auto& last = revision.book_.last_window_;
  if (!last) {
    const auto first = FirstFullWindow(table);
    if (!first) {
      return revision;
    }
    last = *first - 1;
  }
  last = std::min(*last, LatestPossible(settings, now));
  SkipOld(revision, settings, now);
  std::optional<std::map<std::string, int64_t>> last_marks;
  while (revision.book_.unsent_.size() < kMaxUnsent) {
    const int64_t window = *last + 1;
    if (now < WindowEnd(window, settings.window_length_)) {
      break;
    }
    if (!last_marks) {
      last_marks = LastMarks(table);
    }
    const auto missing = MissingDaemons(*last_marks, daemons, window);
    if (Fix(revision, memory, table, missing, settings, window, now) ==
        Step::kWait) {
      break;
    }
    last = window;
  }
  return revision;
}

}  // namespace clementinerill::usage
