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

/// @brief Maximum nesting depth of maps and arrays in a decoded message.
///
/// The CBOR library decodes recursively; without a limit, a small message of
/// nested arrays would exhaust the stack.
inline constexpr size_t kMaxNestingDepth = 8;

/// @brief Encodes a message as the CBOR map `{"t": kind, "b": body}`.
///
/// The body is an array of the field values in declaration order. Omitting the
/// field names keeps heartbeats within their share of the control traffic.
[[nodiscard]] std::string EncodeMessage(const Message& message);

/// @brief Decodes a message.
///
/// Fails if the input is larger than `kMaxMessageBytes`, is not CBOR, is nested
/// too deeply, has an unknown kind, a wrong number or type of fields, or a
/// number out of range. Errors in a field name the message kind and the field.
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_CODEC_H_
