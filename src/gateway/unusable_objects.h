#ifndef CLEMENTINERILL_GATEWAY_UNUSABLE_OBJECTS_H_
#define CLEMENTINERILL_GATEWAY_UNUSABLE_OBJECTS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "gateway/gateway_metrics.h"
#include "mirror/kind_changes.h"
#include "traffic/traffic_view.h"

namespace clementinerill::gateway {

/// @brief The objects of the store that this daemon does not use because of an
/// error in them, with metrics and a log line when one is found or corrected.
class UnusableObjects {
 public:
  explicit UnusableObjects(GatewayMetrics& metrics) : metrics_(metrics) {}

  /// @brief Forgets objects of a kind that the changes remove or replace. Call
  /// before the changes are decoded; `Add` records those that are still
  /// unusable.
  void StartChanges(const std::string& kind,
                    const mirror::KindChanges& changes);

  void Add(const std::string& kind,
           const std::string& name,
           const Error& error,
           Instant now);

  /// @brief Logs the objects that the changes have corrected or removed.
  void FinishChanges(Instant now);

  /// @brief Returns the objects for the status page, up to a fixed number.
  [[nodiscard]] std::vector<traffic::UnusableObject> List() const;

 private:
  using Key = std::pair<std::string, std::string>;  ///< Kind and name.

  GatewayMetrics& metrics_;
  std::map<Key, std::string> reasons_;
  std::map<Key, std::string> previous_;  ///< Those that changes replace.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_UNUSABLE_OBJECTS_H_
