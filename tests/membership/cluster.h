#ifndef CLEMENTINERILL_TESTS_MEMBERSHIP_CLUSTER_H_
#define CLEMENTINERILL_TESTS_MEMBERSHIP_CLUSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace clementinerill {

/// @brief A heartbeat in transit.
struct TestMessage {
  Duration arrival_{};
  int sender_ = 0;
  Heartbeat heartbeat_;
};

/// @brief One simulated daemon.
struct TestMember {
  std::optional<GroupState> state_;  ///< Empty while the process is down.
  SelfStatus status_{1, 0, false};
  Duration clock_offset_{};
  Duration next_heartbeat_{};
  Duration paused_until_{};
  Duration down_until_{};
  std::vector<TestMessage> inbox_;
  int list_version_ = 0;  ///< Of the latest list that it has applied.
  Duration list_visible_at_{};
};

/// @brief Network faults in one direction between two members.
struct TestLink {
  bool cut_ = false;
  int drop_percent_ = 0;
  int max_delay_ms_ = 20;
};

/// @brief A deterministic simulation of all members, driven by one random
/// sequence. `now_` is the simulated time; the clock of each member reads
/// `now_` plus an offset of its own.
struct Cluster {
  Cluster(int size, uint64_t seed);
  /// The first `size` of `daemons` form the initial group; the others may join
  /// later.
  Cluster(int daemons, int size, uint64_t seed, std::vector<GroupPool> pools);

  /// Publishes a list of members; each daemon sees it after a random delay of
  /// less than `max_delay`.
  void PublishList(const std::vector<std::string>& members, Duration max_delay);
  /// Whether a member that has applied the latest list may publish the next
  /// one.
  [[nodiscard]] bool MayPublishList() const;

  /// Advances the time by one step; with `faults`, changes faults at random.
  void Step(bool faults);
  /// Steps until the time `end` or the first violation.
  void RunUntil(Duration end, bool faults);
  [[nodiscard]] bool EverySeatInUse() const;
  /// Ends all faults; daemons that are down restart in the next step.
  void Heal();

  [[nodiscard]] int Random(int bound);

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  WitnessGroup group_;
  int list_version_ = 0;  ///< Number of lists published.
  Duration now_{};
  std::vector<TestMember> members_;
  std::vector<std::vector<TestLink>> links_;
  Duration partition_start_{};
  std::vector<int> partitions_;  ///< Network partition of each member.
  /// Per seat: the incarnation of the process that last used it, and the time
  /// until which its last request may run.
  std::vector<std::pair<uint32_t, Duration>> last_use_;
  std::vector<int> in_use_;  ///< Per seat: 1 if it was used in this step.
  int handovers_ = 0;
  std::string violation_;

 private:
  void ApplyList(TestMember& member, size_t index, Instant local);
  void Start(TestMember& member, size_t index);
  void ChangeFaults();
  void ChangePartition();
  void RunMember(TestMember& member, size_t index);
  void Deliver(TestMember& member, Instant local);
  void SendAll(TestMember& member, size_t index, Instant local);
  void UseSeats(const TestMember& member, size_t index, Instant local);
  void RecordUse(const TestMember& member, size_t seat);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_MEMBERSHIP_CLUSTER_H_
