#include "gateway/listener_limits.h"

#include <sys/resource.h>

#include <algorithm>

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// Parts of the memory. A request is counted with its copy for the replica.
constexpr uint64_t kRequestMemoryPart = 8;
constexpr uint64_t kUnreadMemoryPart = 8;
// Responses to other daemons, and the copies that readers request.
constexpr uint64_t kUnreadForwardMemoryPart = 16;
constexpr uint64_t kUnreadCopyMemoryPart = 16;
constexpr uint64_t kRelayRequestMemoryPart = 32;
constexpr uint64_t kUnreadPageMemoryPart = 64;

// Half of the memory is divided by what a connection takes outside the budgets:
// 6 kB in the process (measured with 1,000 incomplete heads), and buffers of
// the kernel.
constexpr uint64_t kConnectionMemoryPart = 2;
constexpr uint64_t kConnectionBytes = 24 * 1000;

// The listeners have five eighths of the descriptors, and of that, in parts of
// 16: callers 8, readers of the relayed copy 4, forwarded queries 2, the
// balancer and operators 1 each.
constexpr uint64_t kParts = 16;
constexpr uint64_t kCallerParts = 8;
constexpr uint64_t kRelayParts = 4;
constexpr uint64_t kForwardParts = 2;
// So that a listener works however low the limits are set.
constexpr uint64_t kMinConnections = 4;

// Operators and the balancer send no bodies.
constexpr uint64_t kMaxPageRequestBytes = 4096;

std::shared_ptr<BufferBudget> MakeBudget(uint64_t bytes) {
  auto budget = std::make_shared<BufferBudget>();
  budget->limit_bytes_ = bytes;
  return budget;
}

std::shared_ptr<BufferBudget> MakeUnreadBudget(uint64_t bytes) {
  auto budget = MakeBudget(bytes);
  budget->is_first_come_ = true;
  return budget;
}

}  // namespace

ConnectionLimits MakeConnectionLimits(uint64_t descriptors,
                                      uint64_t memory_bytes) noexcept {
  const uint64_t all =
      std::min(descriptors / 8 * 5,
               memory_bytes / kConnectionMemoryPart / kConnectionBytes);
  const auto part = [all](uint64_t parts) {
    return static_cast<size_t>(std::max(kMinConnections, all * parts / kParts));
  };
  return {part(kCallerParts), part(kRelayParts), part(kForwardParts), part(1),
          part(1)};
}

uint64_t DescriptorLimit(const GatewayOptions& options) {
  rlimit limit{};
  uint64_t descriptors = options.max_descriptors_;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    descriptors = std::min<uint64_t>(descriptors, limit.rlim_cur);
  }
  return descriptors;
}

ListenerBudgets MakeListenerBudgets() {
  return {MakeBudget(0), MakeUnreadBudget(0), MakeUnreadBudget(0),
          MakeUnreadBudget(0)};
}

void SetMemory(const ListenerBudgets& budgets, uint64_t memory_bytes) noexcept {
  budgets.requests_->limit_bytes_ = memory_bytes / kRequestMemoryPart;
  budgets.unread_->limit_bytes_ = memory_bytes / kUnreadMemoryPart;
  budgets.unread_forwards_->limit_bytes_ =
      memory_bytes / kUnreadForwardMemoryPart;
  budgets.unread_pages_->limit_bytes_ = memory_bytes / kUnreadPageMemoryPart;
}

void LimitListeners(const TrafficListeners& listeners,
                    const ListenerBudgets& budgets,
                    const GatewayOptions& options) {
  CallerLimits page_limits;
  page_limits.max_body_bytes_ = kMaxPageRequestBytes;
  listeners.ready_.SetLimits(page_limits);
  listeners.operators_.SetLimits(page_limits);
  listeners.callers_.SetResponseBudget(budgets.unread_);
  listeners.forwards_.SetResponseBudget(budgets.unread_forwards_);
  listeners.operators_.SetResponseBudget(budgets.unread_pages_);
  for (http::Listener* listener :
       {&listeners.callers_, &listeners.ready_, &listeners.operators_,
        &listeners.forwards_}) {
    listener->SetRequestBudget(budgets.requests_);
  }
  const auto limits =
      MakeConnectionLimits(DescriptorLimit(options), options.memory_bytes_);
  listeners.callers_.SetMaxConnections(limits.callers_);
  listeners.ready_.SetMaxConnections(limits.ready_);
  listeners.operators_.SetMaxConnections(limits.operators_);
  listeners.forwards_.SetMaxConnections(limits.forwards_);
}

void ListenForReaders(http::Listener& listener, const GatewayOptions& options) {
  if (!options.relay_listen_) {
    return;
  }
  // Of its own, as it is used on another thread than the others.
  listener.SetRequestBudget(
      MakeBudget(options.memory_bytes_ / kRelayRequestMemoryPart));
  listener.SetResponseBudget(
      MakeUnreadBudget(options.memory_bytes_ / kUnreadCopyMemoryPart));
  listener.SetMaxConnections(
      MakeConnectionLimits(DescriptorLimit(options), options.memory_bytes_)
          .relay_);
  const auto port = listener.Listen(options.relay_listen_->address_,
                                    options.relay_listen_->port_);
  if (!port) {
    Log(LogLevel::kError, "relay",
        "cannot listen, not relaying to other daemons",
        {{"error", Format(port.error())}});
  }
}

}  // namespace clementinerill::gateway
