#ifndef CLEMENTINERILL_MIRROR_USAGE_CODEC_H_
#define CLEMENTINERILL_MIRROR_USAGE_CODEC_H_

#include <optional>

#include <nlohmann/json.hpp>

#include "usage/message.h"

namespace clementinerill::mirror {

/// @brief Adds the field `usage` to a message between daemons; without `usage`
/// the message stays as it is.
///
/// Shape: `{process, since, version, first, counts: {process: {window:
/// {organisation: count}}}, known: [process, version], wall_ms, agreed_ms,
/// held_ms}`. Windows in `counts` are relative to `first`. Fields without
/// content are absent.
void AddUsage(nlohmann::json& message,
              const std::optional<usage::Message>& usage);

/// @brief Decodes the field `usage` of a message. Throws an exception of the
/// JSON library if a field is missing or has the wrong type.
[[nodiscard]] std::optional<usage::Message> DecodeUsage(
    const nlohmann::json& message);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_USAGE_CODEC_H_
