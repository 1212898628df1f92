#ifndef CLEMENTINERILL_CONFIG_SELECTOR_H_
#define CLEMENTINERILL_CONFIG_SELECTOR_H_

#include "config/labels.h"

namespace clementinerill {

/// @brief Selects upstreams by labels.
///
/// An upstream matches when it has every required label with the same
/// value. An empty selector matches every upstream.
struct Selector {
  Labels required_labels_;
};

/// @brief Whether `labels` satisfy `selector`.
[[nodiscard]] bool Matches(const Selector& selector,
                           const Labels& labels) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_SELECTOR_H_
