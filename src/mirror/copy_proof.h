#ifndef CLEMENTINERILL_MIRROR_COPY_PROOF_H_
#define CLEMENTINERILL_MIRROR_COPY_PROOF_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "base/boot_instant.h"
#include "base/name_table.h"
#include "base/time.h"
#include "mirror/kind_mirror.h"

namespace clementinerill::mirror {

/// @brief Whether a response proves that the copy is recent, and if not, why.
enum class ProofOutcome {
  kProven,
  kNoAnswer,     ///< A status other than 200, or none.
  kStaleRead,    ///< Requested with `allow_stale`.
  kNotApplied,   ///< Not readable, or not part of the copy.
  kOtherEra,     ///< Of another era than the copy, or of none.
  kOlder,        ///< Of an older revision than the copy.
  kNoRelayProof  ///< The relay has no proof itself.
};

inline constexpr std::array<NameEntry<ProofOutcome>, 7> kProofOutcomeNames = {{
    {ProofOutcome::kProven, "proven"},
    {ProofOutcome::kNoAnswer, "no_answer"},
    {ProofOutcome::kStaleRead, "stale_read"},
    {ProofOutcome::kNotApplied, "not_applied"},
    {ProofOutcome::kOtherEra, "other_era"},
    {ProofOutcome::kOlder, "older"},
    {ProofOutcome::kNoRelayProof, "no_relay_proof"},
}};

/// @brief The response to a list or watch, as far as a proof depends on it.
struct StoreResponse {
  int status_ = 0;  ///< 0 if none came.
  bool is_stale_read_ = false;
  bool is_applied_ = false;  ///< It was read and offered to the copy.
  int64_t era_ = 0;          ///< As named by the response; 0 if it names none.
  int64_t revision_ = 0;     ///< Of the store, as named by the response.
  /// When the call was sent; of a list in pages, the call for the first page,
  /// as the others do not repeat what the first one had.
  BootInstant sent_{};
};

/// @brief Decides whether `response` proves that `copy` contains all that the
/// store had acknowledged when the call was sent. `copy` has the changes of the
/// response already.
[[nodiscard]] ProofOutcome JudgeResponse(const KindMirror& copy,
                                         const StoreResponse& response);

/// @brief The copy of one kind as described by a relay that was polled.
struct RelayedProof {
  int64_t era_ = 0;
  int64_t revision_ = 0;
  /// Age of the relay's proof when it replied; unset if it has none.
  std::optional<std::chrono::milliseconds> age_;
  /// For how long the relay held the poll.
  std::chrono::milliseconds held_{};
  BootInstant sent_{};      ///< When the poll was sent.
  BootInstant received_{};  ///< When the reply was received.
};

/// @brief Decides whether the proof of a relay also holds for `copy`, which has
/// the changes of the reply already.
[[nodiscard]] ProofOutcome JudgeRelayed(const KindMirror& copy,
                                        const RelayedProof& relayed);

/// @brief The time for which a relayed proof holds; unset if it has no age. The
/// reply left the relay no earlier than the poll was sent plus the time for
/// which it was held.
[[nodiscard]] std::optional<BootInstant> ProvenAt(const RelayedProof& relayed);

/// @brief Records that the copy, as it is now, contains all that the store had
/// acknowledged at `when`. Ignored if the copy has a later proof.
void Prove(KindMirror& copy, BootInstant when);

/// @brief Records the proof of a relay if it also holds for `copy`.
ProofOutcome ProveRelayed(KindMirror& copy, const RelayedProof& relayed);

/// @brief Whether the proof of a relay is younger than `max_age` for this
/// daemon.
[[nodiscard]] bool IsRecent(const RelayedProof& relayed, Duration max_age);

/// @brief Age of the proof of the copy as sent to readers, rounded up; unset if
/// there is no proof.
[[nodiscard]] std::optional<std::chrono::milliseconds> ProofAge(
    const KindMirror& copy,
    BootInstant now);

/// @brief The part of a copy that the traffic thread uses.
struct PublishedCopy {
  int64_t era_ = 0;
  int64_t revision_ = 0;
};

/// @brief The proof of `copy` that also holds for what is published; unset if
/// the published revision is older than the proven one or of another era.
[[nodiscard]] std::optional<BootInstant> PublishableProof(
    const KindMirror& copy,
    const PublishedCopy& published);

/// @brief Whether the proof of the copy is older than `max_age` or missing.
[[nodiscard]] bool IsProofOlder(const KindMirror& copy,
                                Duration max_age,
                                BootInstant now);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_COPY_PROOF_H_
