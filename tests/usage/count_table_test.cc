#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "property.h"
#include "usage/usage.h"

namespace clementinerill::usage {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Sum = std::map<std::string, int64_t>;

constexpr milliseconds kLength{5000};
constexpr size_t kNoLimit = 100'000;

CountTable MakeTable(int64_t first = 0, int64_t last = 100) {
  CountTable table;
  KeepWindows(table, first, last);
  return table;
}

void MergeAll(CountTable& table,
              const std::vector<Count>& counts,
              bool is_direct) {
  for (const Count& count : counts) {
    Merge(table, count, is_direct);
  }
}

TEST_CASE("windows begin at multiples of their length since 1970", "[window]") {
  CHECK(WindowAt(WallTime(9999), kLength) == 1);
  CHECK(WindowAt(WallTime(10000), kLength) == 2);
  CHECK(WindowAt(WallTime(-1), kLength) == -1);
  CHECK(WindowBegin(353445120, kLength) == WallTime(1'767'225'600'000));
  CHECK(WindowEnd(1, kLength) == WallTime(10000));
}

// Guards against counts that are added again when a report is repeated, comes
// late, or comes through another relay.
TEST_CASE("repeated and reordered reports count nothing twice", "[table]") {
  CheckProperty(20261211, 300, [] {
    std::vector<CountTable> daemons(4, MakeTable());
    std::map<int64_t, Sum> truth;
    std::vector<Count> sent;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const auto daemon = *rc::gen::inRange<size_t>(0, daemons.size());
      const auto window = *rc::gen::inRange<int64_t>(5, 8);
      const std::string organisation(1, "xyz"[*rc::gen::inRange(0, 3)]);
      const auto requests = *rc::gen::inRange<int64_t>(1, 5);
      const std::string process = "p" + std::to_string(daemon);
      AddOwn(daemons[daemon], process, window, organisation, requests);
      truth[window][organisation] += requests;
      const auto changes =
          ChangesAfter(daemons[daemon], 0, CountScope::kOwn, process, kNoLimit);
      sent.insert(sent.end(), changes.counts_.begin(), changes.counts_.end());
    }
    const std::vector<Count> once = sent;
    sent.insert(sent.end(), once.begin(), once.end());
    // Two relays get the reports in any order and exchange them.
    std::vector<CountTable> relays(2, MakeTable());
    for (size_t left = sent.size(); left > 0; --left) {
      const auto at = *rc::gen::inRange<size_t>(0, left);
      Merge(relays[at % 2], sent[at], true);
      std::swap(sent[at], sent[left - 1]);
    }
    for (int round = 0; round < 2; ++round) {
      for (size_t from : {0, 1}) {
        MergeAll(
            relays[1 - from],
            ChangesAfter(relays[from], 0, CountScope::kDirect, "", kNoLimit)
                .counts_,
            false);
      }
    }
    for (const auto& [window, sum] : truth) {
      RC_ASSERT(SumOf(relays[0], window) == sum);
      RC_ASSERT(SumOf(relays[1], window) == sum);
    }
  });
}

// Guards against requests that are lost with the daemon that counted them.
TEST_CASE("the last report of an ended process is kept", "[table]") {
  CountTable relay = MakeTable();
  Merge(relay, {"a#1", 7, "x", 3}, true);
  // The restarted process counts from zero under another name.
  Merge(relay, {"a#2", 7, "x", 2}, true);
  CHECK(SumOf(relay, 7) == Sum{{"x", 5}});
}

// Guards against messages that repeat the whole table.
TEST_CASE("only changes are sent", "[table]") {
  CountTable table = MakeTable();
  AddOwn(table, "a#1", 7, "x", 3);
  AddOwn(table, "a#1", 7, "y", 1);
  const auto first = ChangesAfter(table, 0, CountScope::kOwn, "a#1", kNoLimit);
  CHECK(first.counts_.size() == 2);
  AddOwn(table, "a#1", 7, "y", 1);
  const auto second =
      ChangesAfter(table, first.version_, CountScope::kOwn, "a#1", kNoLimit);
  REQUIRE(second.counts_.size() == 1);
  CHECK(second.counts_[0].organisation_ == "y");
  CHECK(second.counts_[0].count_ == 2);
  CHECK(ChangesAfter(table, second.version_, CountScope::kOwn, "a#1", kNoLimit)
            .counts_.empty());
}

// Guards against changes that are left out when a message is full.
TEST_CASE("the changes beyond a limit follow in the next part", "[table]") {
  CountTable table = MakeTable();
  for (int i = 0; i < 25; ++i) {
    AddOwn(table, "a#1", 7, "org-" + std::to_string(i), i + 1);
  }
  CountTable other = MakeTable();
  uint64_t version = 0;
  for (int part = 0; part < 3; ++part) {
    const auto changes = ChangesAfter(table, version, CountScope::kAll, "", 10);
    CHECK(changes.counts_.size() <= 10);
    MergeAll(other, changes.counts_, false);
    version = changes.version_;
  }
  CHECK(SumOf(other, 7) == SumOf(table, 7));
}

// Guards against counts that circulate between relays without end.
TEST_CASE("what a relay learned from another one is not direct", "[table]") {
  CountTable relay = MakeTable();
  Merge(relay, {"far#1", 7, "x", 3}, false);
  Merge(relay, {"near#1", 7, "x", 4}, true);
  const auto direct = ChangesAfter(relay, 0, CountScope::kDirect, "", kNoLimit);
  REQUIRE(direct.counts_.size() == 1);
  CHECK(direct.counts_[0].process_ == "near#1");
  CHECK(ChangesAfter(relay, 0, CountScope::kAll, "", kNoLimit).counts_.size() ==
        2);
}

// Guards against memory that grows with time, and with windows far off.
TEST_CASE("windows that are not kept take no memory", "[table]") {
  CountTable table = MakeTable(5, 10);
  Merge(table, {"a#1", 4, "x", 1}, true);
  Merge(table, {"a#1", 11, "x", 1}, true);
  CHECK(table.entries_ == 0);
  Merge(table, {"a#1", 5, "x", 1}, true);
  Merge(table, {"a#1", 6, "x", 1}, true);
  KeepWindows(table, 6, 11);
  CHECK(table.entries_ == 1);
  CHECK(table.windows_.size() == 1);
}

// Guards against a daemon that drops all counts for hours because its clock was
// ahead before the daemons had agreed.
TEST_CASE("the kept windows follow a corrected time", "[table]") {
  CountTable table = MakeTable(700, 710);
  Merge(table, {"a#1", 705, "x", 1}, true);
  KeepWindows(table, 5, 10);
  CHECK(table.entries_ == 0);
  Merge(table, {"a#1", 7, "x", 1}, true);
  CHECK(SumOf(table, 7) == Sum{{"x", 1}});
}

TEST_CASE("a full table drops new counts and keeps the known ones", "[table]") {
  CountTable table = MakeTable();
  for (int i = 0; i < 200'001; ++i) {
    Merge(table, {"a#1", 7, std::to_string(i), 1}, true);
  }
  CHECK(table.entries_ == 200'000);
  CHECK(table.dropped_ == 1);
  Merge(table, {"a#1", 7, "0", 9}, true);
  CHECK(SumOf(table, 7)["0"] == 9);
}

// Guards against a restarted daemon whose counts replace those of the process
// before it.
TEST_CASE("processes of one daemon differ", "[table]") {
  CHECK(KeyOfProcess(ProcessName("front-1", 12345)) == DaemonKey("front-1"));
  CHECK(ProcessName("a", 1) != ProcessName("a", 2));
  CHECK(DaemonKey("front-1") != DaemonKey("front-2"));
}

struct Counting {
  Counting() {
    clock_.started_ = kStart;
    clock_.offset_ = milliseconds(1'000'000);
    counter_.started_ = kStart;
    counter_.process_ = "a#1";
  }

  void Count(const std::string& organisation, WallTime begin) {
    Batch batch;
    REQUIRE(
        AddRequest(batch, organisation, BootInstant(begin - *clock_.offset_)));
    AddBatch(counter_, batch);
  }

  static constexpr BootInstant kStart{seconds(1002)};  // 2.002e6 ms: window 400
  AgreedClock clock_;
  OwnCounter counter_;
  CountTable table_ = MakeTable(0, 1000);
};

// Guards against requests that count in the window in which they end.
TEST_CASE("requests count in the window in which they began", "[counter]") {
  Counting counting;
  counting.Count("x", WallTime(2'014'990));
  counting.Count("x", WallTime(2'015'000));
  EnterPending(counting.counter_, counting.table_, counting.clock_, kLength);
  CHECK(SumOf(counting.table_, 402) == Sum{{"x", 1}});
  CHECK(SumOf(counting.table_, 403) == Sum{{"x", 1}});
  CHECK(counting.counter_.pending_.empty());
}

// Guards against the loss of what was counted before the daemons had agreed.
TEST_CASE("requests wait until the time is agreed", "[counter]") {
  Counting counting;
  const auto offset = counting.clock_.offset_;
  counting.Count("x", WallTime(2'015'000));
  counting.clock_.offset_.reset();
  EnterPending(counting.counter_, counting.table_, counting.clock_, kLength);
  CHECK(counting.table_.entries_ == 0);
  counting.clock_.offset_ = offset;
  EnterPending(counting.counter_, counting.table_, counting.clock_, kLength);
  CHECK(SumOf(counting.table_, 403) == Sum{{"x", 1}});
}

// Guards against windows that are taken for complete while their requests are
// in progress, and against a first window that lacks earlier requests.
TEST_CASE("a window is marked once it has settled", "[counter]") {
  Counting counting;
  const auto mark = [&counting](WallTime now) {
    MarkWindows(counting.counter_, counting.table_, counting.clock_, kLength,
                seconds(2), BootInstant(now - *counting.clock_.offset_));
  };
  mark(WallTime(2'006'999));
  CHECK_FALSE(HasMarks(counting.table_, 400));
  mark(WallTime(2'012'000));
  CHECK(HasMarks(counting.table_, 400));
  CHECK(HasMarks(counting.table_, 401));
  CHECK_FALSE(HasMarks(counting.table_, 402));
  CHECK(FirstFullWindow(counting.table_) == 401);
  CHECK(LastMarks(counting.table_) == Sum{{"a", 401}});
  CHECK(SumOf(counting.table_, 401).empty());
}

TEST_CASE("windows are marked again after a correction", "[counter]") {
  Counting counting;
  const auto mark = [&counting](BootInstant now) {
    KeepWindows(counting.table_, 0, 2000);
    MarkWindows(counting.counter_, counting.table_, counting.clock_, kLength,
                seconds(2), now);
  };
  const BootInstant now = Counting::kStart + seconds(20);
  const auto offset = *counting.clock_.offset_;
  counting.clock_.offset_ = offset + hours(1);
  mark(now);
  counting.clock_.offset_ = offset;
  mark(now + seconds(10));
  CHECK(HasMarks(counting.table_, 404));
}

TEST_CASE("a batch is bounded", "[counter]") {
  Batch batch;
  int added = 0;
  while (AddRequest(batch, "x", BootInstant(added * kBeginUnit))) {
    ++added;
  }
  CHECK(added == 20'000);
  CHECK(AddRequest(batch, "x", BootInstant{}));
}

}  // namespace
}  // namespace clementinerill::usage
