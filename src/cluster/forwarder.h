#ifndef CLEMENTINERILL_CLUSTER_FORWARDER_H_
#define CLEMENTINERILL_CLUSTER_FORWARDER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/time.h"
#include "cluster/forward_result.h"
#include "peer/forward.h"
#include "peer/forward_answer.h"
#include "peer/message.h"

namespace clementinerill {

/// @brief Forwards of whole queries that wait for their answers. Thread-safe.
class Forwarder {
 public:
  using Send = std::function<bool(const std::string&, const Message&)>;

  explicit Forwarder(Send send);

  /// @brief Sends a query to a peer and waits for the answer on this thread.
  /// @param deadline Time until which the answer is awaited.
  /// @param caller_gone Polled every 20 ms; true cancels the forward.
  [[nodiscard]] ForwardResult Run(const std::string& peer,
                                  Forward forward,
                                  Instant deadline,
                                  const std::function<bool()>& caller_gone);

  /// @brief Whether a forward to the peer has recently gone unanswered.
  [[nodiscard]] bool IsSuspect(const std::string& peer, Instant now);

  /// @brief Takes the answer of a peer; one that nobody awaits is dropped.
  void OnAnswer(const std::string& peer, ForwardAnswer answer);

  /// @brief Ends the forwards to a peer whose link has closed.
  void OnPeerDown(const std::string& peer);

 private:
  struct Pending {
    std::string peer_;
    bool done_ = false;
    ForwardResult result_;
    std::condition_variable changed_;
  };

  const Send send_;
  std::mutex mutex_;
  std::map<uint64_t, std::shared_ptr<Pending>> pending_;
  std::map<std::string, Instant> suspect_until_;
  uint64_t last_id_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_FORWARDER_H_
