#ifndef CLEMENTINERILL_CLUSTER_CONTROL_EVENT_H_
#define CLEMENTINERILL_CLUSTER_CONTROL_EVENT_H_

#include <string>
#include <variant>
#include <vector>

#include "membership/advisory.h"
#include "peer/hello.h"
#include "peer/message.h"
#include "platform/read_outcome.h"
#include "platform/vm.h"

namespace clementinerill {

/// @brief A message received from another daemon.
struct PeerMessageEvent {
  std::string peer_;
  Message message_;
};

/// @brief A read of the configuration from the store has completed.
struct StoreReadEvent {
  ReadOutcome outcome_;
};

/// @brief The VM list has been read from the platform.
struct VmListEvent {
  std::vector<Vm> vms_;
};

/// @brief An advisory raised at this daemon.
struct AdvisoryEvent {
  Advisory advisory_;
};

/// @brief An event processed by the control thread.
using ControlEvent = std::variant<PeerMessageEvent,
                                  Hello,
                                  StoreReadEvent,
                                  VmListEvent,
                                  AdvisoryEvent>;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_CONTROL_EVENT_H_
