#include "gateway/configuration_proof.h"

#include <vector>

#include <catch2/catch.hpp>

namespace clementinerill::gateway {
namespace {

using mirror::ProofOutcome;
using std::chrono::milliseconds;

struct ProofFixture {
  ProofFixture() {
    proof_.SetOnProof([this](const organisations::ViewProof& reported) {
      reported_.push_back(reported);
    });
    mirror::Apply(copy_, {10, true, {{"main", 1}}, {}});
    mirror::Prove(copy_, BootInstant(milliseconds(1000)));
  }

  mirror::KindMirror copy_;
  GatewayMetrics metrics_;
  ConfigurationProof proof_{copy_, metrics_};
  std::vector<organisations::ViewProof> reported_;
};

// Guards against a traffic thread that takes the proof of a configuration which
// it does not have yet.
TEST_CASE("a proof is reported after the view of its revision", "[proof]") {
  ProofFixture fixture;
  fixture.proof_.SetMaxAge(milliseconds(4900));
  fixture.proof_.RecordOutcome(ProofOutcome::kProven);
  CHECK(fixture.reported_.empty());
  fixture.proof_.RecordPublished();
  fixture.proof_.RecordOutcome(ProofOutcome::kProven);
  REQUIRE(fixture.reported_.size() == 1);
  CHECK(fixture.reported_[0].confirmed_at_ == BootInstant(milliseconds(1000)));

  mirror::Apply(fixture.copy_, {12, false, {{"main", 2}}, {}});
  mirror::Prove(fixture.copy_, BootInstant(milliseconds(2000)));
  fixture.proof_.RecordOutcome(ProofOutcome::kProven);
  CHECK(fixture.reported_.size() == 1);
  fixture.proof_.RecordPublished();
  fixture.proof_.RecordOutcome(ProofOutcome::kProven);
  REQUIRE(fixture.reported_.size() == 2);
  CHECK(fixture.reported_[1].confirmed_at_ == BootInstant(milliseconds(2000)));
}

// Guards against proofs in deployments that require none, and against a wait
// for the next response when a proof comes to be required.
TEST_CASE("a proof is reported once it is required", "[proof]") {
  ProofFixture fixture;
  fixture.proof_.RecordPublished();
  fixture.proof_.RecordOutcome(ProofOutcome::kProven);
  CHECK(fixture.reported_.empty());
  fixture.proof_.SetMaxAge(milliseconds(4900));
  CHECK(fixture.reported_.size() == 1);
  fixture.proof_.RecordOutcome(ProofOutcome::kNoAnswer);
  CHECK(fixture.reported_.size() == 1);
  CHECK(fixture.metrics_.proofs_.Value(ProofOutcome::kNoAnswer) == 1);
}

}  // namespace
}  // namespace clementinerill::gateway
