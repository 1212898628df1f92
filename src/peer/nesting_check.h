#ifndef CLEMENTINERILL_PEER_NESTING_CHECK_H_
#define CLEMENTINERILL_PEER_NESTING_CHECK_H_

#include <string_view>

namespace clementinerill {

/// @brief Returns whether `bytes` is a single well-formed CBOR item whose maps
/// and arrays are nested at most `max_depth` levels deep.
[[nodiscard]] bool IsCborWithinDepth(std::string_view bytes, int max_depth);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_NESTING_CHECK_H_
