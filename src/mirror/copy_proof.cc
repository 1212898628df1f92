#include "mirror/copy_proof.h"

#include <algorithm>

namespace clementinerill::mirror {

using std::chrono::milliseconds;

ProofOutcome JudgeResponse(const KindMirror& copy,
                           const StoreResponse& response) {
  if (response.status_ != 200) {
    return ProofOutcome::kNoAnswer;
  }
  if (response.is_stale_read_) {
    return ProofOutcome::kStaleRead;
  }
  if (!response.is_applied_ || copy.revision_ == 0) {
    return ProofOutcome::kNotApplied;
  }
  if (response.era_ != copy.era_) {
    return ProofOutcome::kOtherEra;
  }
  if (response.revision_ < copy.revision_) {
    return ProofOutcome::kOlder;
  }
  // A response that was applied has raised the copy to its revision.
  return response.revision_ == copy.revision_ ? ProofOutcome::kProven
                                              : ProofOutcome::kNotApplied;
}

ProofOutcome JudgeRelayed(const KindMirror& copy, const RelayedProof& relayed) {
  if (!relayed.age_) {
    return ProofOutcome::kNoRelayProof;
  }
  if (copy.revision_ == 0 || relayed.era_ != copy.era_) {
    return ProofOutcome::kOtherEra;
  }
  // An older revision of the relay is no obstacle: what its proof covers is
  // part of a newer copy as well.
  return relayed.revision_ <= copy.revision_ ? ProofOutcome::kProven
                                             : ProofOutcome::kNotApplied;
}

std::optional<BootInstant> ProvenAt(const RelayedProof& relayed) {
  if (!relayed.age_) {
    return std::nullopt;
  }
  // A stated time beyond the receipt of the reply is wrong.
  return std::min(relayed.sent_ + relayed.held_, relayed.received_) -
         *relayed.age_;
}

void Prove(KindMirror& copy, BootInstant when) {
  if (!copy.proven_at_ || *copy.proven_at_ < when) {
    copy.proven_at_ = when;
    copy.proven_revision_ = copy.revision_;
  }
}

ProofOutcome ProveRelayed(KindMirror& copy, const RelayedProof& relayed) {
  const ProofOutcome outcome = JudgeRelayed(copy, relayed);
  const auto proven_at = ProvenAt(relayed);
  if (outcome == ProofOutcome::kProven && proven_at) {
    Prove(copy, *proven_at);
  }
  return outcome;
}

bool IsRecent(const RelayedProof& relayed, Duration max_age) {
  const auto proven_at = ProvenAt(relayed);
  return proven_at && relayed.received_ - *proven_at < max_age;
}

std::optional<milliseconds> ProofAge(const KindMirror& copy, BootInstant now) {
  if (!copy.proven_at_) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(
      std::max(now - *copy.proven_at_, BootClock::duration::zero()));
}

std::optional<BootInstant> PublishableProof(const KindMirror& copy,
                                            const PublishedCopy& published) {
  const bool covers = published.era_ == copy.era_ &&
                      published.revision_ >= copy.proven_revision_;
  return covers ? copy.proven_at_ : std::nullopt;
}

bool IsProofOlder(const KindMirror& copy, Duration max_age, BootInstant now) {
  return !copy.proven_at_ || now - *copy.proven_at_ > max_age;
}

}  // namespace clementinerill::mirror
