#include <catch2/catch.hpp>

#include "mirror/mirror.h"

namespace clementinerill::mirror {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BootInstant At(int64_t ms) {
  return BootInstant(milliseconds(ms));
}

KindMirror Copy(int64_t era, int64_t revision) {
  KindMirror copy;
  KindChanges list{revision, true, {{"main", 1}}, {}};
  list.era_ = era;
  REQUIRE(Apply(copy, list));
  return copy;
}

StoreResponse Response(int64_t era, int64_t revision) {
  StoreResponse response;
  response.status_ = 200;
  response.is_applied_ = true;
  response.era_ = era;
  response.revision_ = revision;
  return response;
}

RelayedProof Relayed(int64_t era, int64_t revision, milliseconds age) {
  RelayedProof relayed;
  relayed.era_ = era;
  relayed.revision_ = revision;
  relayed.age_ = age;
  relayed.held_ = milliseconds(800);
  relayed.sent_ = At(10000);
  relayed.received_ = At(10810);
  return relayed;
}

TEST_CASE("a response of the present copy proves it", "[proof]") {
  CHECK(JudgeResponse(Copy(2, 10), Response(2, 10)) == ProofOutcome::kProven);
  // A store that names no era.
  CHECK(JudgeResponse(Copy(0, 10), Response(0, 10)) == ProofOutcome::kProven);
}

// Guards against a proof from a response that says nothing on the present
// content of the store.
TEST_CASE("responses that prove nothing", "[proof]") {
  const KindMirror copy = Copy(2, 10);
  StoreResponse response = Response(2, 10);
  SECTION("history is gone") {
    response.status_ = 410;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kNoAnswer);
  }
  SECTION("the store is unavailable") {
    response.status_ = 503;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kNoAnswer);
  }
  SECTION("the response was lost or late") {
    response.status_ = 0;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kNoAnswer);
  }
  SECTION("a read that may be stale") {
    response.is_stale_read_ = true;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kStaleRead);
  }
  SECTION("changes that could not be read") {
    response.is_applied_ = false;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kNotApplied);
  }
  SECTION("an earlier era") {
    response.era_ = 1;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kOtherEra);
  }
  SECTION("a later era, whose list has not been applied") {
    response.era_ = 3;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kOtherEra);
  }
  SECTION("no era, of a store that has named one") {
    response.era_ = 0;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kOtherEra);
  }
  SECTION("an older state than the copy") {
    response.revision_ = 9;
    CHECK(JudgeResponse(copy, response) == ProofOutcome::kOlder);
  }
  SECTION("a daemon without a copy") {
    CHECK(JudgeResponse({}, Response(0, 0)) == ProofOutcome::kNotApplied);
  }
}

// Guards against an age that is too low because it counts from the response: a
// VM may have been suspended with the response in its socket.
TEST_CASE("a proof counts from the sending of the call", "[proof]") {
  KindMirror copy = Copy(2, 10);
  CHECK_FALSE(ProofAge(copy, At(0)));
  Prove(copy, At(1000));
  // Thawed 30 s later; the response of the call sent at 2000 ms is read now.
  Prove(copy, At(2000));
  CHECK(ProofAge(copy, At(32000)) == milliseconds(30000));
  CHECK(IsProofOlder(copy, milliseconds(4900), At(32000)));
  // The response of an earlier call does not make it older again.
  Prove(copy, At(1500));
  CHECK(ProofAge(copy, At(2000)) == milliseconds(0));
}

TEST_CASE("the age of a proof is rounded up", "[proof]") {
  KindMirror copy = Copy(2, 10);
  Prove(copy, At(1000));
  CHECK(ProofAge(copy, At(1000) + std::chrono::nanoseconds(1)) ==
        milliseconds(1));
}

// Guards against a proof that outlives the era in which it was given: what was
// acknowledged in the lost part is not in the copy.
TEST_CASE("a restored store takes the proof from the new list", "[proof]") {
  KindMirror copy = Copy(2, 10);
  Prove(copy, At(5000));
  KindChanges list{7, true, {{"main", 0}}, {}};
  list.era_ = 3;
  REQUIRE(Apply(copy, list));
  CHECK_FALSE(copy.proven_at_);
  CHECK(IsProofOlder(copy, seconds(3600), At(5000)));
  // The list may have been sent before the last watch of the old era.
  CHECK(JudgeResponse(copy, Response(3, 7)) == ProofOutcome::kProven);
  Prove(copy, At(4000));
  CHECK(copy.proven_at_ == At(4000));
  CHECK(copy.proven_revision_ == 7);
}

TEST_CASE("a relayed proof counts from the poll and the time held", "[proof]") {
  KindMirror copy = Copy(2, 10);
  CHECK(ProveRelayed(copy, Relayed(2, 10, milliseconds(700))) ==
        ProofOutcome::kProven);
  CHECK(copy.proven_at_ == At(10000 + 800 - 700));
}

// Guards against a relay that states a longer time than the poll took.
TEST_CASE("a relayed proof is never later than the reply", "[proof]") {
  RelayedProof relayed = Relayed(2, 10, milliseconds(0));
  relayed.held_ = seconds(60);
  CHECK(ProvenAt(relayed) == relayed.received_);
}

// Guards against a relay of the previous version, and one that has lost its own
// proof, whose copies look recent.
TEST_CASE("a reply without an age proves nothing", "[proof]") {
  KindMirror copy = Copy(2, 10);
  RelayedProof relayed = Relayed(2, 10, milliseconds(0));
  relayed.age_.reset();
  CHECK(ProveRelayed(copy, relayed) == ProofOutcome::kNoRelayProof);
  CHECK_FALSE(copy.proven_at_);
  CHECK_FALSE(IsRecent(relayed, seconds(3600)));
}

TEST_CASE("a relay proves only copies that have what it has", "[proof]") {
  const KindMirror copy = Copy(2, 10);
  const milliseconds age(5);
  // The reader is ahead after a change of relays: it has all of the relay's.
  CHECK(JudgeRelayed(copy, Relayed(2, 8, age)) == ProofOutcome::kProven);
  CHECK(JudgeRelayed(copy, Relayed(2, 11, age)) == ProofOutcome::kNotApplied);
  CHECK(JudgeRelayed(copy, Relayed(1, 10, age)) == ProofOutcome::kOtherEra);
  CHECK(JudgeRelayed(copy, Relayed(3, 10, age)) == ProofOutcome::kOtherEra);
  CHECK(JudgeRelayed({}, Relayed(0, 0, age)) == ProofOutcome::kOtherEra);
}

// Guards against a proof that becomes younger on its way through relays, whose
// clocks and delays differ.
TEST_CASE("a chain of relays only adds age", "[proof]") {
  // True time is that of the first daemon; the others' clocks are off by
  // `offset`, and each poll takes some time there and back.
  BootInstant now = At(100000);
  KindMirror relay = Copy(2, 10);
  Prove(relay, now - milliseconds(400));
  const BootInstant proven = *relay.proven_at_;
  milliseconds offset{0};
  for (const int hop : {1, 2, 3, 4, 5}) {
    const milliseconds reader_offset(hop * 77777 - 200000);
    const BootInstant sent = now;
    const BootInstant received = now + milliseconds(3 * hop);
    const BootInstant replied = received + std::chrono::microseconds(650400);
    now = replied + milliseconds(7);
    RelayedProof relayed;
    relayed.era_ = 2;
    relayed.revision_ = 10;
    relayed.age_ = ProofAge(relay, replied + offset);
    relayed.held_ =
        std::chrono::duration_cast<milliseconds>(replied - received);
    relayed.sent_ = sent + reader_offset;
    relayed.received_ = now + reader_offset;
    KindMirror reader = Copy(2, 10);
    REQUIRE(ProveRelayed(reader, relayed) == ProofOutcome::kProven);
    const BootInstant seen = *reader.proven_at_ - reader_offset;
    CHECK(seen <= proven);
    CHECK(seen >= proven - milliseconds(40 * hop));
    relay = reader;
    offset = reader_offset;
  }
}

// Guards against a suspension of either side of a poll that makes a proof
// younger.
TEST_CASE("a suspended VM has no recent proof when it is thawed", "[proof]") {
  KindMirror copy = Copy(2, 10);
  RelayedProof relayed = Relayed(2, 10, milliseconds(700));
  SECTION("the reader was suspended") {
    relayed.received_ = relayed.sent_ + seconds(20);
  }
  SECTION("the relay was suspended before it received the poll") {
    relayed.age_ = seconds(20);
    relayed.received_ = relayed.sent_ + seconds(20);
  }
  SECTION("the relay was suspended while it held the poll") {
    relayed.held_ = seconds(20);
    relayed.age_ = seconds(20) + milliseconds(700);
    relayed.received_ = relayed.sent_ + relayed.held_ + milliseconds(5);
  }
  REQUIRE(ProveRelayed(copy, relayed) == ProofOutcome::kProven);
  CHECK(IsProofOlder(copy, milliseconds(4900), relayed.received_));
  CHECK_FALSE(IsRecent(relayed, milliseconds(4900)));
}

// Guards against a traffic thread that takes the proof of a configuration which
// it does not have yet.
TEST_CASE("a proof holds only for a view of its revision", "[proof]") {
  KindMirror copy = Copy(2, 10);
  CHECK_FALSE(PublishableProof(copy, {2, 10}));
  Prove(copy, At(1000));
  CHECK(PublishableProof(copy, {2, 10}) == At(1000));
  CHECK_FALSE(PublishableProof(copy, {2, 9}));
  CHECK_FALSE(PublishableProof(copy, {1, 10}));
  CHECK_FALSE(PublishableProof(copy, {}));
  // The copy is ahead of the view; the proof is of the revision of the view.
  REQUIRE(Apply(copy, {12, false, {{"main", 2}}, {}, 2}));
  CHECK(PublishableProof(copy, {2, 10}) == At(1000));
  Prove(copy, At(2000));
  CHECK_FALSE(PublishableProof(copy, {2, 10}));
  CHECK(PublishableProof(copy, {2, 12}) == At(2000));
}

// Guards against other bytes on the wire for fleets without organisations, and
// against an age that a wrong message makes lower.
TEST_CASE("ages of proofs in relay messages", "[proof]") {
  RelayReply reply;
  reply.kinds_["config"].changes_.revision_ = 10;
  const std::string without = Encode(reply);
  CHECK(without.find("proof_age_ms") == std::string::npos);
  CHECK(without.find("held_ms") == std::string::npos);
  CHECK_FALSE(DecodeRelayReply(without)->kinds_.at("config").proof_age_);
  CHECK_FALSE(DecodeRelayReply(without)->held_);

  reply.kinds_["config"].proof_age_ = milliseconds(1234);
  reply.held_ = milliseconds(56);
  const auto decoded = DecodeRelayReply(Encode(reply));
  REQUIRE(decoded);
  CHECK(decoded->kinds_.at("config").proof_age_ == milliseconds(1234));
  CHECK(decoded->held_ == milliseconds(56));

  reply.kinds_["config"].proof_age_ = milliseconds(-1);
  reply.held_ = milliseconds(-1);
  const auto negative = DecodeRelayReply(Encode(reply));
  REQUIRE(negative);
  CHECK_FALSE(negative->kinds_.at("config").proof_age_);
  CHECK_FALSE(negative->held_);
}

}  // namespace
}  // namespace clementinerill::mirror
