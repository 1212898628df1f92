#ifndef CLEMENTINERILL_GATEWAY_EVACUATION_CONTROL_H_
#define CLEMENTINERILL_GATEWAY_EVACUATION_CONTROL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "gateway/forward_declarations.h"
#include "mirror/kind_changes.h"

namespace clementinerill::gateway {

/// @brief Tracks the failure domains that the operator has evacuated.
class EvacuationControl {
 public:
  /// @brief Applies changes of the objects of `kind`, which are named by
  /// failure domain. Objects without a name are added to `unusable`.
  ///
  /// An evacuation that is missing in the first list of an era was lost by the
  /// store. It holds until the operator has had time to repeat it.
  void ApplyChanges(const std::string& kind,
                    const mirror::KindChanges& changes,
                    UnusableObjects& unusable,
                    Instant now);

  /// @brief Ends lost evacuations that were not repeated in time. Returns
  /// whether there were any.
  bool EndLost(Instant now);

  [[nodiscard]] std::set<std::string> FailureDomains() const;

 private:
  void MarkLost(Instant now);

  std::set<std::string> ordered_;
  std::map<std::string, Instant> lost_until_;
  int64_t era_ = 0;  ///< Of the last full list.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_EVACUATION_CONTROL_H_
