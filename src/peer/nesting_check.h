#ifndef CLEMENTINERILL_PEER_NESTING_CHECK_H_
#define CLEMENTINERILL_PEER_NESTING_CHECK_H_

#include <string_view>

namespace clementinerill {

/// @brief Whether `bytes` is one well-formed CBOR item whose maps and arrays
/// are nested at most `max_nesting` deep.
[[nodiscard]] bool IsShallowCbor(std::string_view bytes, int max_nesting);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_NESTING_CHECK_H_
