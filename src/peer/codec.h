#ifndef CLEMENTINERILL_PEER_CODEC_H_
#define CLEMENTINERILL_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "peer/message.h"

namespace clementinerill {

/// @brief Largest message accepted and sent, in bytes.
inline constexpr size_t kMaxMessageBytes = 2 * 1024 * 1024;

/// @brief Deepest nesting of maps and arrays that is decoded.
///
/// The CBOR library decodes recursively; without a limit a small message of
/// nested arrays exhausts the stack.
inline constexpr int kMaxNesting = 8;

/// @brief Encodes as a CBOR map `{"t": kind, "b": body}`.
///
/// The body is an array of the fields in the order of their declaration; only
/// so do heartbeats stay within their share of the control traffic.
[[nodiscard]] std::string EncodeMessage(const Message& message);

/// @brief Decodes a message. Errors name the kind and the field: not CBOR,
/// nested too deeply, unknown kind, wrong number or type of fields, number out
/// of range.
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_CODEC_H_
