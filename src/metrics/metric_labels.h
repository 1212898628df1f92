#ifndef CLEMENTINERILL_METRICS_METRIC_LABELS_H_
#define CLEMENTINERILL_METRICS_METRIC_LABELS_H_

#include <map>
#include <string>

namespace clementinerill {

/// @brief Labels of one metric: names mapped to values. Values may be any UTF-8
/// text.
using MetricLabels = std::map<std::string, std::string>;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_METRIC_LABELS_H_
