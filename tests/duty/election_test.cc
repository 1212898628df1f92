#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "duty/duty.h"

namespace clementinerill::duty {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootInstant kStart{std::chrono::hours(1)};
constexpr Duration kLease = seconds(3);
constexpr Duration kMargin = milliseconds(300);
constexpr Duration kCallTimeout = milliseconds(500);
constexpr int64_t kEra = int64_t{1} << 32;

State NewDaemon(const std::string& name, const std::string& process) {
  State state;
  state.rules_ = MakeRules(kLease, kMargin);
  state.holder_ = name;
  state.process_ = process;
  state.candidate_rank_ = 0;
  return state;
}

/// An object of the store with conditional writes.
struct Store {
  ReadEvent Read() const { return {true, era_, record_, revision_}; }

  WriteEvent Write(const Action& write) {
    const bool holds =
        write.revision_ ? record_ && *write.revision_ == revision_ : !record_;
    if (!holds) {
      return {false, era_, 0};
    }
    record_ = write.record_;
    return {true, era_, ++revision_};
  }

  int64_t era_ = 1;
  int64_t revision_ = 10;
  std::optional<Record> record_;
};

/// Takes all steps that are due at `now`; returns the number of calls.
int Run(State& state, Store& store, BootInstant now) {
  int calls = 0;
  for (;;) {
    const Action action = NextAction(state, now);
    if (action.kind_ == ActionKind::kWait) {
      return calls;
    }
    ++calls;
    if (action.kind_ == ActionKind::kRead) {
      ApplyRead(state, store.Read(), now);
    } else {
      ApplyWrite(state, store.Write(action), now);
    }
  }
}

/// Takes all steps until `end`, ten milliseconds apart.
void RunUntil(State& state, Store& store, BootInstant now, BootInstant end) {
  for (; now <= end; now += milliseconds(10)) {
    Run(state, store, now);
  }
}

/// A daemon that holds the duty from `kStart` on.
struct HolderFixture {
  HolderFixture() {
    Run(holder_, store_, kStart - kLease - kMargin);
    RunUntil(holder_, store_, kStart - milliseconds(100), kStart);
    REQUIRE(HeldToken(holder_, kStart));
  }

  /// The write with which the holder renews its lease.
  Action Renewal(BootInstant now) {
    const Action action = NextAction(holder_, now);
    REQUIRE(action.kind_ == ActionKind::kWrite);
    return action;
  }

  Store store_;
  State holder_ = NewDaemon("vm-a", "a1");
};

// Guards against a lease that outlasts that of a successor because the response
// came late.
TEST_CASE("A lease counts from the sending of the write", "[election]") {
  HolderFixture fixture;
  const BootInstant sent = kStart + milliseconds(1200);
  const WriteEvent written = fixture.store_.Write(fixture.Renewal(sent));
  ApplyWrite(fixture.holder_, written, sent + milliseconds(1000));
  const BootInstant end = sent + kLease - kMargin;
  CHECK(HeldToken(fixture.holder_, end - milliseconds(1)));
  CHECK_FALSE(HeldToken(fixture.holder_, end));
}

// Guards against calls that the API receives after the lease.
TEST_CASE("The time-out of a call lies inside the lease", "[election]") {
  const HolderFixture fixture;
  const BootInstant last =
      kStart + kLease - kMargin - kCallTimeout - milliseconds(1);
  CHECK(MayCall(fixture.holder_, last, kCallTimeout));
  CHECK_FALSE(MayCall(fixture.holder_, last + milliseconds(1), kCallTimeout));
}

TEST_CASE("The first holder waits as long as a successor", "[election]") {
  Store store;
  State state = NewDaemon("vm-a", "a1");
  RunUntil(state, store, kStart, kStart + kLease + kMargin - milliseconds(10));
  CHECK_FALSE(store.record_);
  RunUntil(state, store, kStart + kLease + kMargin,
           kStart + kLease + kMargin + milliseconds(10));
  REQUIRE(store.record_);
  CHECK(store.record_->token_ == kEra + 10);
}

// Guards against two holders at a time.
TEST_CASE("A candidate waits from the first sight of the newest object",
          "[election]") {
  HolderFixture fixture;
  State candidate = NewDaemon("vm-b", "b1");
  Run(candidate, fixture.store_, kStart);
  // A renewal that the candidate sees at its next read.
  const BootInstant renewed = kStart + milliseconds(1200);
  Run(fixture.holder_, fixture.store_, renewed);
  RunUntil(candidate, fixture.store_, renewed,
           renewed + kLease + kMargin - milliseconds(10));
  CHECK(fixture.store_.record_->holder_ == "vm-a");
  RunUntil(candidate, fixture.store_, renewed + kLease + kMargin,
           renewed + kLease + kMargin + milliseconds(10));
  CHECK(fixture.store_.record_->holder_ == "vm-b");
  CHECK(fixture.store_.record_->token_ == kEra + 11);
}

// Guards against a wait that begins anew, and against a write conditional on an
// object that is gone.
TEST_CASE("A stale read changes nothing", "[election]") {
  HolderFixture fixture;
  const ReadEvent stale = fixture.store_.Read();
  Run(fixture.holder_, fixture.store_, kStart + milliseconds(1200));
  State candidate = NewDaemon("vm-b", "b1");
  Run(candidate, fixture.store_, kStart + milliseconds(1200));
  const KnownObject known = *candidate.known_;
  const Action read = NextAction(candidate, kStart + milliseconds(2400));
  REQUIRE(read.kind_ == ActionKind::kRead);
  CHECK(read.may_be_stale_);
  ApplyRead(candidate, stale, kStart + milliseconds(2400));
  CHECK(candidate.known_->revision_ == known.revision_);
  CHECK(candidate.known_->since_ == known.since_);
}

TEST_CASE("A write without a response is read back and counts from its sending",
          "[election]") {
  HolderFixture fixture;
  const BootInstant sent = kStart + milliseconds(1200);
  const Action renewal = fixture.Renewal(sent);
  ApplyWrite(fixture.holder_, {}, sent + milliseconds(600));
  static_cast<void>(fixture.store_.Write(renewal));
  const Action read = NextAction(fixture.holder_, sent + milliseconds(900));
  REQUIRE(read.kind_ == ActionKind::kRead);
  CHECK_FALSE(read.may_be_stale_);
  ApplyRead(fixture.holder_, fixture.store_.Read(), sent + milliseconds(900));
  const BootInstant end = sent + kLease - kMargin;
  CHECK(HeldToken(fixture.holder_, end - milliseconds(1)));
  CHECK_FALSE(HeldToken(fixture.holder_, end));
}

// Guards against acting on a write that took effect when its lease was over.
TEST_CASE("After a late write the daemon writes again before it acts",
          "[election]") {
  HolderFixture fixture;
  const BootInstant sent = kStart + milliseconds(1200);
  const Action renewal = fixture.Renewal(sent);
  ApplyWrite(fixture.holder_, {}, sent + milliseconds(600));
  static_cast<void>(fixture.store_.Write(renewal));
  const BootInstant late = sent + kLease;
  REQUIRE(NextAction(fixture.holder_, late).kind_ == ActionKind::kRead);
  ApplyRead(fixture.holder_, fixture.store_.Read(), late);
  CHECK_FALSE(HeldToken(fixture.holder_, late));
  const Action again = NextAction(fixture.holder_, late);
  REQUIRE(again.kind_ == ActionKind::kWrite);
  CHECK(again.record_.token_ == renewal.record_.token_);
  ApplyWrite(fixture.holder_, fixture.store_.Write(again), late);
  CHECK(HeldToken(fixture.holder_, late));
}

// Guards against a daemon that acts after a freeze.
TEST_CASE("A holder that was frozen stops", "[election]") {
  HolderFixture fixture;
  const BootInstant thawed = kStart + seconds(20);
  State successor = NewDaemon("vm-b", "b1");
  RunUntil(successor, fixture.store_, kStart, thawed);
  REQUIRE(fixture.store_.record_->holder_ == "vm-b");
  CHECK_FALSE(HeldToken(fixture.holder_, thawed));
  Run(fixture.holder_, fixture.store_, thawed);
  Run(fixture.holder_, fixture.store_, thawed + milliseconds(300));
  CHECK_FALSE(HeldToken(fixture.holder_, thawed + milliseconds(300)));
  CHECK(fixture.store_.record_->holder_ == "vm-b");
}

// Guards against a token of the previous process in the hands of a new one.
TEST_CASE("A restarted process waits and gets a token of its own",
          "[election]") {
  HolderFixture fixture;
  const int64_t token = fixture.store_.record_->token_;
  State restarted = NewDaemon("vm-a", "a2");
  RunUntil(restarted, fixture.store_, kStart,
           kStart + kLease + kMargin - milliseconds(10));
  CHECK(fixture.store_.record_->process_ == "a1");
  RunUntil(restarted, fixture.store_, kStart + kLease + kMargin,
           kStart + kLease + kMargin + milliseconds(10));
  CHECK(fixture.store_.record_->process_ == "a2");
  CHECK(fixture.store_.record_->token_ == token + 1);
}

TEST_CASE("In a new era the holder acts only after a write of its own",
          "[election]") {
  HolderFixture fixture;
  REQUIRE(SetPayload(fixture.holder_, "new", kStart));
  const Store copy = fixture.store_;
  Run(fixture.holder_, fixture.store_, kStart + milliseconds(10));
  REQUIRE(*PayloadInForce(fixture.holder_, kStart + milliseconds(10)) == "new");
  fixture.store_ = copy;
  ++fixture.store_.era_;
  const BootInstant renewed = kStart + milliseconds(1210);
  ApplyWrite(fixture.holder_, fixture.store_.Write(fixture.Renewal(renewed)),
             renewed);
  // The refusal does not show the new era, the read does.
  const BootInstant read = renewed + milliseconds(200);
  REQUIRE(NextAction(fixture.holder_, read).kind_ == ActionKind::kRead);
  ApplyRead(fixture.holder_, fixture.store_.Read(), read);
  CHECK_FALSE(HeldToken(fixture.holder_, read));
  Run(fixture.holder_, fixture.store_, read);
  CHECK(HeldToken(fixture.holder_, read).value_or(0) > 2 * kEra);
  CHECK(fixture.store_.record_->payload_ == "new");
}

// Guards against a takeover while the holder of the earlier era still acts.
TEST_CASE("A candidate waits for a full lease from the first sight of an era",
          "[election]") {
  HolderFixture fixture;
  State candidate = NewDaemon("vm-b", "b1");
  Run(candidate, fixture.store_, kStart);
  ++fixture.store_.era_;
  const BootInstant seen = kStart + seconds(3);
  RunUntil(candidate, fixture.store_, seen,
           seen + kLease + kMargin - milliseconds(10));
  CHECK(fixture.store_.record_->holder_ == "vm-a");
  RunUntil(candidate, fixture.store_, seen + kLease + kMargin,
           seen + kLease + kMargin + milliseconds(10));
  CHECK(fixture.store_.record_->token_ > 2 * kEra);
}

// Guards against two holders with one token: the write is conditional on a
// revision that the new era gives out again.
TEST_CASE("A write that takes effect in a later era entitles to nothing",
          "[election]") {
  HolderFixture fixture;
  const BootInstant sent = kStart + milliseconds(1200);
  const Action renewal = fixture.Renewal(sent);
  ++fixture.store_.era_;
  fixture.store_.record_->process_ = "b1";
  fixture.store_.record_->era_ = 2;
  fixture.store_.record_->token_ = 2 * kEra + 10;
  ApplyWrite(fixture.holder_, fixture.store_.Write(renewal), sent);
  CHECK_FALSE(HeldToken(fixture.holder_, sent));
  // The next holder gets a higher token than the one that was replaced.
  State candidate = NewDaemon("vm-c", "c1");
  RunUntil(candidate, fixture.store_, sent, sent + seconds(4));
  CHECK(fixture.store_.record_->token_ > 2 * kEra + 10);
}

// Guards against a takeover without a wait: the write was meant for an object
// of the earlier era, and says nothing about the one that it has replaced.
TEST_CASE("After a write that took effect in a later era the daemon waits",
          "[election]") {
  HolderFixture fixture;
  const BootInstant sent = kStart + seconds(20);
  const Action renewal = fixture.Renewal(sent);
  ++fixture.store_.era_;
  ApplyWrite(fixture.holder_, fixture.store_.Write(renewal), sent);
  RunUntil(fixture.holder_, fixture.store_, sent,
           sent + kLease + kMargin - milliseconds(10));
  CHECK(fixture.store_.record_->token_ == renewal.record_.token_);
  RunUntil(fixture.holder_, fixture.store_, sent + kLease + kMargin,
           sent + kLease + kMargin + milliseconds(10));
  CHECK(fixture.store_.record_->token_ > 2 * kEra);
}

TEST_CASE("A payload is in force once its write is confirmed", "[payload]") {
  HolderFixture fixture;
  REQUIRE(SetPayload(fixture.holder_, "one", kStart));
  CHECK(PayloadInForce(fixture.holder_, kStart)->empty());
  CHECK(HasPendingPayload(fixture.holder_));
  Run(fixture.holder_, fixture.store_, kStart);
  CHECK(*PayloadInForce(fixture.holder_, kStart) == "one");
  CHECK_FALSE(HasPendingPayload(fixture.holder_));
  // A successor gets it.
  State successor = NewDaemon("vm-b", "b1");
  const BootInstant later = kStart + seconds(10);
  RunUntil(successor, fixture.store_, kStart, later);
  REQUIRE(PayloadInForce(successor, later));
  CHECK(*PayloadInForce(successor, later) == "one");
}

// Guards against a payload that replaces one that it does not know.
TEST_CASE("A late write of another payload drops the one that waits",
          "[payload]") {
  HolderFixture fixture;
  REQUIRE(SetPayload(fixture.holder_, "one", kStart));
  const Action write = fixture.Renewal(kStart);
  ApplyWrite(fixture.holder_, {}, kStart + milliseconds(600));
  REQUIRE(SetPayload(fixture.holder_, "two", kStart + milliseconds(600)));
  static_cast<void>(fixture.store_.Write(write));
  const BootInstant read = kStart + milliseconds(900);
  REQUIRE(NextAction(fixture.holder_, read).kind_ == ActionKind::kRead);
  ApplyRead(fixture.holder_, fixture.store_.Read(), read);
  CHECK(*PayloadInForce(fixture.holder_, read) == "one");
  CHECK_FALSE(HasPendingPayload(fixture.holder_));
}

TEST_CASE("Only the holder sets the payload", "[payload]") {
  HolderFixture fixture;
  CHECK_FALSE(SetPayload(fixture.holder_, "late", kStart + kLease));
  State candidate = NewDaemon("vm-b", "b1");
  CHECK_FALSE(SetPayload(candidate, "other", kStart));
}

// Guards against an election that costs more than a tenth of the calls of a
// quiet day (1,500 in 48 s for 67 daemons).
TEST_CASE("A quiet minute takes few calls of the store", "[election]") {
  HolderFixture fixture;
  State second = NewDaemon("vm-b", "b1");
  SetCandidateRank(second, 1);
  State third = NewDaemon("vm-c", "c1");
  SetCandidateRank(third, 2);
  int writes = 0;
  int reads = 0;
  for (BootInstant now = kStart; now < kStart + seconds(60);
       now += milliseconds(10)) {
    writes += Run(fixture.holder_, fixture.store_, now);
    reads += Run(second, fixture.store_, now);
    reads += Run(third, fixture.store_, now);
  }
  INFO("calls a minute: " << writes << " writes, " << reads << " stale reads");
  CHECK(fixture.store_.record_->holder_ == "vm-a");
  CHECK(writes <= 51);
  CHECK(reads <= 78);
}

TEST_CASE("A daemon that is no candidate makes no calls", "[election]") {
  Store store;
  State state = NewDaemon("vm-a", "a1");
  SetCandidateRank(state, std::nullopt);
  CHECK(Run(state, store, kStart) == 0);
}

TEST_CASE("Three candidates of two failure domains", "[candidates]") {
  std::vector<Daemon> daemons;
  for (int i = 0; i < 40; ++i) {
    daemons.push_back({"vm-" + std::to_string(i), "fd-1"});
  }
  const auto same = Candidates("usage_report", daemons);
  CHECK(same.size() == 3);
  daemons.push_back({"other", "fd-2"});
  const auto mixed = Candidates("usage_report", daemons);
  REQUIRE(mixed.size() == 3);
  CHECK(std::count(mixed.begin(), mixed.end(), "other") == 1);
  // The order does not depend on that of the list.
  std::reverse(daemons.begin(), daemons.end());
  CHECK(Candidates("usage_report", daemons) == mixed);
  CHECK(CandidateRank("usage_report", mixed[1], daemons) == 1);
  CHECK_FALSE(CandidateRank("usage_report", "unknown", daemons));
}

}  // namespace
}  // namespace clementinerill::duty
