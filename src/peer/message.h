#ifndef CLEMENTINERILL_PEER_MESSAGE_H_
#define CLEMENTINERILL_PEER_MESSAGE_H_

#include <variant>

#include "membership/heartbeat.h"
#include "peer/advisories.h"
#include "peer/config_document.h"
#include "peer/config_request.h"
#include "peer/forward.h"
#include "peer/forward_answer.h"
#include "peer/forward_cancel.h"
#include "peer/hello.h"
#include "peer/report.h"

namespace clementinerill {

/// @brief Any message between daemons; alternatives are in `MessageKind` order.
using Message = std::variant<Hello,
                             Heartbeat,
                             Advisories,
                             ConfigRequest,
                             ConfigDocument,
                             Forward,
                             ForwardAnswer,
                             ForwardCancel,
                             Report>;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_MESSAGE_H_
