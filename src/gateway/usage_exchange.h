#ifndef CLEMENTINERILL_GATEWAY_USAGE_EXCHANGE_H_
#define CLEMENTINERILL_GATEWAY_USAGE_EXCHANGE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/event_loop.h"
#include "mirror/daemon_record.h"
#include "mirror/relay_message.h"
#include "usage/usage.h"

namespace clementinerill::gateway {

/// @brief The part of a daemon in the exchange of counts.
struct UsageRole {
  bool is_watcher_ = false;    ///< It collects the counts of its domain.
  bool needs_counts_ = false;  ///< It reports them, or may do so next.
};

/// @brief Keeps this daemon's table of counts and the agreed time up to date by
/// messages to and from other daemons.
///
/// Daemons send their counts to the relay that they follow, with its requests.
/// The daemons that follow the store exchange what was sent to them. Those that
/// report usage get all counts from their relay. A receiver states what it
/// knows, so that only changes are sent, and again what was lost.
class UsageExchange {
 public:
  UsageExchange(http::EventLoop& loop,
                const std::string& daemon,
                std::chrono::milliseconds window_length,
                std::chrono::milliseconds kept_for);

  /// @brief Sets the other daemons that follow the store.
  void SetPeers(const std::vector<mirror::DaemonRecord>& peers);
  void SetRole(const UsageRole& role) { role_ = role; }
  /// @brief Sets the time after which no request of a window is in progress.
  void SetSettleTime(std::chrono::milliseconds settle) { settle_ = settle; }

  /// @brief Adds requests that this daemon has served.
  void Record(const usage::Batch& batch);

  /// @brief Updates the time and the table, and sends what is due.
  void Tick();

  void AddTo(mirror::RelayRequest& request);
  void OnRequest(const mirror::RelayRequest& request);
  void AddTo(const mirror::RelayRequest& request, mirror::RelayReply& reply);
  void OnReply(const mirror::RelayReply& reply);
  /// @brief Takes the message of another daemon that follows the store; returns
  /// the response.
  [[nodiscard]] std::optional<usage::Message> OnReport(
      const std::optional<usage::Message>& message);

  [[nodiscard]] const usage::CountTable& Table() const { return table_; }
  [[nodiscard]] const usage::AgreedClock& Clock() const { return clock_; }
  [[nodiscard]] const std::string& Process() const { return counter_.process_; }

 private:
  struct Peer {
    Peer(http::EventLoop& loop, const mirror::DaemonRecord& daemon)
        : daemon_(daemon), client_(loop, daemon.address_, daemon.port_) {}

    mirror::DaemonRecord daemon_;
    http::Client client_;
    bool waiting_ = false;  ///< For the response to the last message.
    BootInstant sent_;
    /// What the peer knows; unset if it wants no counts.
    std::optional<usage::TablePosition> known_;
  };

  [[nodiscard]] bool Collects(BootInstant now) const;
  [[nodiscard]] usage::Message MakeMessage(BootInstant now) const;
  /// Adds the changes that a receiver who knows `version` lacks.
  void AddChanges(usage::Message& message,
                  uint64_t version,
                  usage::CountScope scope) const;
  /// Merges the counts and remembers what is known of the sender's table.
  void MergeReport(const usage::Message& message, bool is_direct);
  void SendToPeers(BootInstant now);
  void SendTo(Peer& peer, BootInstant now);
  void OnResponse(Peer& peer, const http::ClientResponse& response);

  http::EventLoop& loop_;
  const std::chrono::milliseconds window_length_;
  const std::chrono::milliseconds kept_for_;
  std::chrono::milliseconds settle_{};
  UsageRole role_;
  usage::AgreedClock clock_;
  usage::OwnCounter counter_;
  usage::CountTable table_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;  ///< By name.
  /// Versions of the tables of senders up to which their reports are merged.
  std::map<std::string, uint64_t> known_;
  /// When the waiting requests of readers were received, by process.
  std::map<std::string, BootInstant> received_;
  usage::TablePosition relay_;              ///< What is known of its table.
  uint64_t relay_acknowledged_ = 0;         ///< What it knows of the own one.
  BootInstant relay_sent_;                  ///< When the last request was sent.
  std::optional<BootInstant> relay_time_;   ///< When it last replied.
  std::optional<BootInstant> reader_time_;  ///< Last report of a reader.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_USAGE_EXCHANGE_H_
