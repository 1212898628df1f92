#ifndef CLEMENTINERILL_CONFIG_LABELS_H_
#define CLEMENTINERILL_CONFIG_LABELS_H_

#include <map>
#include <string>

namespace clementinerill {

/// @brief Labels of an upstream: key to value, both non-empty.
using Labels = std::map<std::string, std::string>;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_LABELS_H_
