#ifndef CLEMENTINERILL_CONTROL_OFFER_OUTCOME_H_
#define CLEMENTINERILL_CONTROL_OFFER_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief What became of a candidate document.
enum class OfferOutcome {
  kApplied,
  kSame,       ///< The version in force, with the same content.
  kOlder,      ///< Below the version in force; ignored.
  kDivergent,  ///< The version in force with other content; ignored.
};

inline constexpr std::array<NameEntry<OfferOutcome>, 4> kOfferOutcomeNames = {{
    {OfferOutcome::kApplied, "applied"},
    {OfferOutcome::kSame, "same"},
    {OfferOutcome::kOlder, "older"},
    {OfferOutcome::kDivergent, "divergent"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_OFFER_OUTCOME_H_
