#ifndef CLEMENTINERILL_GATEWAY_PART_LIMIT_H_
#define CLEMENTINERILL_GATEWAY_PART_LIMIT_H_

#include <cstddef>

#include "gateway/gateway_options.h"

namespace clementinerill::gateway {

/// @brief The most parts in progress with which a daemon starts to gather a
/// query for another one: by its capacity, and by the descriptors that are left
/// for connections to replicas.
[[nodiscard]] size_t MaxPartsForOthers(const GatewayOptions& options);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_PART_LIMIT_H_
