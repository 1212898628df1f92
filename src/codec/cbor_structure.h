#ifndef CLEMENTINERILL_CODEC_CBOR_STRUCTURE_H_
#define CLEMENTINERILL_CODEC_CBOR_STRUCTURE_H_

#include <cstddef>
#include <string_view>

namespace clementinerill {

/// @brief Whether `bytes` is one well-formed CBOR item (RFC 8949) of definite
/// length, without tags, whose arrays and maps are nested at most `max_depth`
/// levels deep.
///
/// Check bytes from the network with it before `nlohmann::json::from_cbor`,
/// whose recursion depth and allocations the sender would otherwise control:
/// nested containers and nested strings of indefinite length overflow the
/// stack, and a length that is too large throws even without exceptions
/// enabled. Uses no recursion.
[[nodiscard]] bool IsBoundedCbor(std::string_view bytes, size_t max_depth);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CODEC_CBOR_STRUCTURE_H_
