#include "organisations/view_proof.h"

namespace clementinerill::organisations {

bool IsRecent(const ViewProof& proof,
              std::optional<Duration> max_age,
              BootInstant now) noexcept {
  if (!max_age) {
    return true;
  }
  return proof.confirmed_at_ && now - *proof.confirmed_at_ < *max_age;
}

}  // namespace clementinerill::organisations
