#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "usage/usage.h"

namespace clementinerill::usage {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Counts = std::map<std::string, int64_t>;

constexpr ReportSettings kSettings{seconds(5), seconds(10)};
const std::vector<std::string> kDaemons = {"a", "b"};
const std::string kA = ProcessName("a", 1);
const std::string kB = ProcessName("b", 1);

WallTime AfterEnd(int64_t window, milliseconds delay) {
  return WindowEnd(window, kSettings.window_length_) + delay;
}

void Mark(CountTable& table, const std::string& process, int64_t window) {
  Merge(table, {process, window, "", 2}, true);
}

CountTable MakeTable() {
  CountTable table;
  KeepWindows(table, 90, 200);
  return table;
}

/// A book whose last window is 99, and counts of window 100, which only one
/// daemon has marked.
struct Reports {
  Reports() {
    book_.last_window_ = 99;
    Merge(table_, {kA, 100, "x", 3}, true);
    Merge(table_, {kB, 100, "x", 4}, true);
    Mark(table_, kA, 99);
    Mark(table_, kB, 99);
    Mark(table_, kA, 100);
  }

  BookRevision Revise(WallTime now) {
    BookRevision revision =
        ReviseBook(book_, memory_, table_, kDaemons, kSettings, now);
    book_ = revision.book_;
    Remember(memory_, book_);
    return revision;
  }

  ReportBook book_;
  ReportMemory memory_;
  CountTable table_ = MakeTable();
};

// Guards against reports that lack the requests of a daemon whose report is on
// the way.
TEST_CASE("a window is fixed when all daemons have marked it", "[book]") {
  Reports reports;
  CHECK(reports.Revise(AfterEnd(100, seconds(3))).book_.unsent_.empty());
  Mark(reports.table_, kB, 100);
  const auto revision = reports.Revise(AfterEnd(100, seconds(3)));
  REQUIRE(revision.book_.unsent_.size() == 1);
  CHECK(revision.book_.unsent_[0] == WindowReport{100, {{"x", 7}}});
  CHECK(revision.book_.last_window_ == 100);
  CHECK(revision.doubtful_.empty());
}

// Guards against a window that waits for a killed daemon until it is missed.
TEST_CASE("a window is fixed in time without the missing daemons", "[book]") {
  Reports reports;
  Mark(reports.table_, kA, 100);
  CHECK(
      reports.Revise(AfterEnd(100, milliseconds(5999))).book_.unsent_.empty());
  const auto revision = reports.Revise(AfterEnd(100, seconds(6)));
  REQUIRE(revision.book_.unsent_.size() == 1);
  CHECK(revision.book_.unsent_[0].counts_ == Counts{{"x", 7}});
  REQUIRE(revision.doubtful_.size() == 1);
  CHECK(revision.doubtful_[0].missing_ == std::vector<std::string>{"b"});
}

TEST_CASE("a daemon that is silent for long is not waited for", "[book]") {
  Reports reports;
  for (int64_t window = 100; window <= 102; ++window) {
    Mark(reports.table_, kA, window);
  }
  reports.book_.last_window_ = 101;
  const auto revision = reports.Revise(AfterEnd(102, seconds(3)));
  CHECK(revision.book_.last_window_ == 102);
  CHECK(revision.doubtful_.empty());
}

// Guards against counts of one window in two reports that differ.
TEST_CASE("a fixed window never changes", "[book]") {
  Reports reports;
  reports.Revise(AfterEnd(100, seconds(6)));
  Merge(reports.table_, {kB, 100, "x", 9}, true);
  reports.Revise(AfterEnd(100, seconds(8)));
  REQUIRE(reports.book_.unsent_.size() == 1);
  CHECK(reports.book_.unsent_[0].counts_ == Counts{{"x", 7}});
}

TEST_CASE("a window without requests is reported with empty counts", "[book]") {
  Reports reports;
  Mark(reports.table_, kA, 101);
  Mark(reports.table_, kB, 101);
  reports.book_.last_window_ = 100;
  reports.Revise(AfterEnd(101, seconds(3)));
  REQUIRE(reports.book_.unsent_.size() == 1);
  CHECK(reports.book_.unsent_[0] == WindowReport{101, {}});
}

// Guards against reports of windows whose first requests nobody counted.
TEST_CASE("the first report is of the first window seen from its start",
          "[book]") {
  Reports reports;
  reports.book_ = {};
  reports.table_ = MakeTable();
  CHECK_FALSE(reports.Revise(AfterEnd(100, seconds(7))).book_.last_window_);
  Merge(reports.table_, {kA, 100, "", 1}, true);
  Mark(reports.table_, kA, 101);
  Mark(reports.table_, kB, 101);
  reports.Revise(AfterEnd(101, seconds(3)));
  REQUIRE(reports.book_.unsent_.size() == 1);
  CHECK(reports.book_.unsent_[0].window_ == 101);
}

TEST_CASE("an acknowledged report leaves the book", "[book]") {
  Reports reports;
  reports.Revise(AfterEnd(100, seconds(6)));
  reports.memory_.acknowledged_.insert(100);
  const auto revision = reports.Revise(AfterEnd(100, seconds(7)));
  CHECK(revision.book_.unsent_.empty());
  CHECK(revision.missed_.empty());
  CHECK(revision.book_.last_window_ == 100);
}

// Guards against a book that grows while the usage API is down.
TEST_CASE("reports are kept for eight windows", "[book]") {
  Reports reports;
  std::vector<MissedWindow> missed;
  for (int64_t window = 100; window < 120; ++window) {
    Mark(reports.table_, kA, window);
    Mark(reports.table_, kB, window);
    const auto revision = reports.Revise(AfterEnd(window, seconds(3)));
    CHECK(revision.book_.unsent_.size() <= kMaxUnsent);
    missed.insert(missed.end(), revision.missed_.begin(),
                  revision.missed_.end());
  }
  REQUIRE_FALSE(missed.empty());
  CHECK(missed[0].window_ == 100);
  CHECK(missed[0].reason_ == MissReason::kNotSent);
  CHECK(reports.book_.unsent_.back().window_ == 119);
}

// Guards against late windows that delay those that can still be in time.
TEST_CASE("windows too old to be fixed are missed", "[book]") {
  Reports reports;
  KeepWindows(reports.table_, 90, 1000);
  Mark(reports.table_, kA, 599);
  Mark(reports.table_, kB, 599);
  const auto revision = reports.Revise(AfterEnd(599, seconds(3)));
  REQUIRE_FALSE(revision.missed_.empty());
  CHECK(revision.missed_[0].reason_ == MissReason::kNotFixed);
  CHECK(revision.missed_[0].window_ == 100);
  CHECK(revision.missed_[0].windows_ > 480);
  CHECK(revision.book_.last_window_ >= 590);
}

// Guards against a successor without counts that reports empty windows.
TEST_CASE("a window without known counts is not fixed", "[book]") {
  Reports reports;
  KeepWindows(reports.table_, 101, 200);
  CHECK(reports.Revise(AfterEnd(100, seconds(12))).book_.last_window_ == 99);
  const auto revision = reports.Revise(AfterEnd(100, seconds(20)));
  REQUIRE(revision.missed_.size() == 1);
  CHECK(revision.missed_[0].reason_ == MissReason::kNoCounts);
}

// Guards against a window that is counted again, with another result, after the
// store has returned from an older copy.
TEST_CASE("what was fixed before a restore is repeated exactly", "[book]") {
  Reports reports;
  const ReportBook before = reports.book_;
  reports.Revise(AfterEnd(100, seconds(6)));
  Merge(reports.table_, {kB, 100, "x", 9}, true);
  reports.book_ = before;
  reports.Revise(AfterEnd(100, seconds(7)));
  REQUIRE(reports.book_.unsent_.size() == 1);
  CHECK(reports.book_.unsent_[0].counts_ == Counts{{"x", 7}});
  reports.book_ = before;
  reports.memory_.acknowledged_.insert(100);
  reports.Revise(AfterEnd(100, seconds(8)));
  CHECK(reports.book_.unsent_.empty());
  CHECK(reports.book_.last_window_ == 100);
  // The book was seen, but not the report.
  reports.book_ = before;
  reports.memory_.acknowledged_.clear();
  reports.memory_.fixed_.clear();
  const auto revision = reports.Revise(AfterEnd(100, seconds(8)));
  CHECK(revision.book_.unsent_.empty());
  REQUIRE(revision.missed_.size() == 1);
  CHECK(revision.missed_[0].reason_ == MissReason::kFixedOnce);
}

// Guards against a holder with a wrong time whose book ends the reports until
// that time has come.
TEST_CASE("a book of a window to come is corrected", "[book]") {
  Reports reports;
  reports.book_.last_window_ = 800;
  Remember(reports.memory_, reports.book_);
  reports.Revise(AfterEnd(99, seconds(1)));
  CHECK(reports.book_.last_window_ == 100);
  Mark(reports.table_, kA, 101);
  Mark(reports.table_, kB, 101);
  reports.Revise(AfterEnd(101, seconds(3)));
  CHECK(reports.book_.last_window_ == 101);
  REQUIRE(reports.book_.unsent_.size() == 1);
}

TEST_CASE("a book is decoded as encoded", "[book]") {
  ReportBook book;
  CHECK(*DecodeBook(EncodeBook(book)) == book);
  book.last_window_ = 101;
  book.unsent_ = {{100, {{"x", 3}}}, {101, {}}};
  CHECK(*DecodeBook(EncodeBook(book)) == book);
  CHECK(*DecodeBook("") == ReportBook{});
  for (const char* text :
       {"x", "[]", R"({"unsent":7})", R"({"unsent":[{"window":"a"}]})",
        R"({"unsent":[],"last_window":null})", "{}"}) {
    INFO(text);
    CHECK_FALSE(DecodeBook(text));
  }
}

struct Sending {
  Sending() {
    sender_.min_interval_ = milliseconds(200);
    book_.unsent_ = {{100, {{"x", 1}}}, {101, {}}};
  }

  const WindowReport* Next() {
    return NextReport(sender_, memory_, book_, now_);
  }
  void Finish(ReportOutcome outcome, milliseconds retry_after = {}) {
    FinishCall(sender_, memory_, outcome, retry_after, now_);
  }

  ReportSender sender_;
  ReportMemory memory_;
  ReportBook book_;
  BootInstant now_{hours(1)};
};

// Guards against reports out of order and calls that overlap.
TEST_CASE("reports are sent one at a time, oldest first", "[sender]") {
  Sending sending;
  REQUIRE(sending.Next());
  CHECK(sending.Next()->window_ == 100);
  StartCall(sending.sender_, 100, sending.now_);
  sending.now_ += seconds(1);
  CHECK_FALSE(sending.Next());
  sending.Finish(ReportOutcome::kRetry);
  CHECK_FALSE(sending.Next());
  sending.now_ += milliseconds(250);
  REQUIRE(sending.Next());
  CHECK(sending.Next()->window_ == 100);
  StartCall(sending.sender_, 100, sending.now_);
  sending.now_ += seconds(1);
  sending.Finish(ReportOutcome::kAcknowledged);
  REQUIRE(sending.Next());
  CHECK(sending.Next()->window_ == 101);
}

// Guards against calls beyond `duty_per_s`, which get 429.
TEST_CASE("calls keep their distance", "[sender]") {
  Sending sending;
  StartCall(sending.sender_, 100, sending.now_);
  sending.Finish(ReportOutcome::kAcknowledged);
  CHECK_FALSE(sending.Next());
  sending.now_ += milliseconds(200);
  CHECK(sending.Next());
}

TEST_CASE("failed calls are repeated with increasing delays", "[sender]") {
  Sending sending;
  milliseconds last{};
  for (int i = 0; i < 8; ++i) {
    StartCall(sending.sender_, 100, sending.now_);
    sending.Finish(ReportOutcome::kRetry);
    const auto delay = std::chrono::duration_cast<milliseconds>(
        sending.sender_.next_call_ - sending.now_);
    CHECK(delay >= last);
    CHECK(delay <= seconds(2));
    last = delay;
    sending.now_ = sending.sender_.next_call_;
  }
  StartCall(sending.sender_, 100, sending.now_);
  sending.Finish(ReportOutcome::kRetry, seconds(3));
  CHECK(sending.sender_.next_call_ == sending.now_ + seconds(3));
  StartCall(sending.sender_, 100, sending.now_);
  sending.Finish(ReportOutcome::kRetry, hours(3));
  CHECK(sending.sender_.next_call_ == sending.now_ + seconds(5));
}

// Guards against one report that the API does not accept and that blocks all
// others.
TEST_CASE("a rejected report is not repeated", "[sender]") {
  CHECK(OutcomeOf(200) == ReportOutcome::kAcknowledged);
  CHECK(OutcomeOf(400) == ReportOutcome::kRejected);
  for (const int status : {0, 302, 403, 409, 429, 500, 503}) {
    CHECK(OutcomeOf(status) == ReportOutcome::kRetry);
  }
  Sending sending;
  StartCall(sending.sender_, 100, sending.now_);
  sending.Finish(ReportOutcome::kRejected);
  sending.now_ += seconds(1);
  REQUIRE(sending.Next());
  CHECK(sending.Next()->window_ == 101);
}

}  // namespace
}  // namespace clementinerill::usage
