#ifndef CLEMENTINERILL_PEER_MESSAGE_KIND_H_
#define CLEMENTINERILL_PEER_MESSAGE_KIND_H_

#include <array>

#include "base/name_table.h"
#include "peer/message.h"

namespace clementinerill {

/// @brief Kinds of peer messages. The values are the alternative indexes of
/// `Message` and part of the wire format.
enum class MessageKind {
  kHello,
  kHeartbeat,
  kAdvisories,
  kConfigRequest,
  kConfig,
  kForward,
  kForwardAnswer,
  kForwardCancel,
  kReport,
};

inline constexpr std::array<NameEntry<MessageKind>, 9> kMessageKindNames = {{
    {MessageKind::kHello, "hello"},
    {MessageKind::kHeartbeat, "heartbeat"},
    {MessageKind::kAdvisories, "advisories"},
    {MessageKind::kConfigRequest, "config_request"},
    {MessageKind::kConfig, "config"},
    {MessageKind::kForward, "forward"},
    {MessageKind::kForwardAnswer, "forward_answer"},
    {MessageKind::kForwardCancel, "forward_cancel"},
    {MessageKind::kReport, "report"},
}};

[[nodiscard]] inline MessageKind KindOf(const Message& message) noexcept {
  return static_cast<MessageKind>(message.index());
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_MESSAGE_KIND_H_
