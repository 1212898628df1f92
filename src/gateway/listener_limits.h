#ifndef CLEMENTINERILL_GATEWAY_LISTENER_LIMITS_H_
#define CLEMENTINERILL_GATEWAY_LISTENER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/buffer_budget.h"
#include "gateway/gateway_options.h"
#include "http/listener.h"

namespace clementinerill::gateway {

/// @brief The most connections of each listener.
struct ConnectionLimits {
  size_t callers_ = 0;
  size_t relay_ = 0;
  size_t forwards_ = 0;
  size_t ready_ = 0;
  size_t operators_ = 0;
};

/// @brief Divides the descriptors and the memory of a process among its
/// listeners. Three eighths of the descriptors are left for connections to
/// replicas, daemons and the store.
[[nodiscard]] ConnectionLimits MakeConnectionLimits(
    uint64_t descriptors,
    uint64_t memory_bytes) noexcept;

/// @brief The lower one of the descriptors in the settings and those that the
/// system allows.
[[nodiscard]] uint64_t DescriptorLimit(const GatewayOptions& options);

/// @brief The budgets of the listeners of the traffic thread. Listeners do not
/// share a budget of unread responses, because each can only make room on its
/// own connections.
struct ListenerBudgets {
  std::shared_ptr<BufferBudget> requests_;
  std::shared_ptr<BufferBudget> unread_;           ///< By callers.
  std::shared_ptr<BufferBudget> unread_forwards_;  ///< By other daemons.
  std::shared_ptr<BufferBudget> unread_pages_;     ///< By operators.
};

[[nodiscard]] ListenerBudgets MakeListenerBudgets();

/// @brief Sets the budgets to their parts of the memory.
void SetMemory(const ListenerBudgets& budgets, uint64_t memory_bytes) noexcept;

/// @brief The listeners of the traffic thread.
struct TrafficListeners {
  http::Listener& callers_;
  http::Listener& ready_;
  http::Listener& operators_;
  http::Listener& forwards_;
};

/// @brief Sets the budgets and the most connections of the listeners.
void LimitListeners(const TrafficListeners& listeners,
                    const ListenerBudgets& budgets,
                    const GatewayOptions& options);

/// @brief Limits the listener for readers of the relayed copy, and listens. An
/// error is logged; the daemon then relays to nobody.
void ListenForReaders(http::Listener& listener, const GatewayOptions& options);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_LISTENER_LIMITS_H_
