#include "duty/rules.h"

#include <algorithm>

namespace clementinerill::duty {

Rules MakeRules(Duration lease, Duration margin) noexcept {
  Rules rules;
  rules.lease_ = lease;
  rules.margin_ = std::clamp(margin, lease / 30, lease / 4);
  rules.renewal_ = lease * 2 / 5;
  rules.poll_ = lease * 2 / 5;
  rules.retry_ = lease / 15;
  return rules;
}

}  // namespace clementinerill::duty
