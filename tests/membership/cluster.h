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

/// @brief A heartbeat on its way.
struct TestMessage {
  Duration arrival_{};
  int sender_ = 0;
  Heartbeat heartbeat_;
};

/// @brief One daemon of the protocol test.
struct TestMember {
  std::optional<GroupState> state_;  ///< Empty while the process is down.
  SelfStatus status_{1, 0, false};
  Duration clock_offset_{};
  Duration next_heartbeat_{};
  Duration paused_until_{};
  Duration down_until_{};
  std::vector<TestMessage> inbox_;
  int step_ = 0;  ///< Of the list it has seen.
  Duration sees_list_{};
};

/// @brief One direction between two members.
struct TestLink {
  bool cut_ = false;
  int drop_percent_ = 0;
  int max_delay_ms_ = 20;
};

/// @brief The members' states, driven by one random sequence on one time
/// line. `now_` is real time; each member sees it plus its clock offset.
struct Cluster {
  Cluster(int size, uint64_t seed);
  /// The first `size` of `daemons` form the group; the others may join.
  Cluster(int daemons, int size, uint64_t seed, std::vector<GroupPool> pools);

  /// Publishes a list; each daemon sees it after up to `spread`.
  void Publish(const std::vector<std::string>& members, Duration spread);
  /// Whether a member that has seen the list may publish the next one.
  [[nodiscard]] bool MayPublish() const;

  /// Advances by one step; in the fault phase, changes faults at random.
  void Step(bool faults);
  /// Runs until the given time; stops at the first violation.
  void RunUntil(Duration end, bool faults);
  [[nodiscard]] bool EverySeatInUse() const;
  /// Ends all faults and restarts what is down.
  void Heal();

  [[nodiscard]] int Random(int bound);

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  WitnessGroup group_;
  int step_ = 0;  ///< Counts the published lists.
  Duration now_{};
  std::vector<TestMember> members_;
  std::vector<std::vector<TestLink>> links_;
  Duration isolated_since_{};
  std::vector<int> sides_;  ///< Side of each member while partitioned.
  /// Per seat: the process (incarnation) that last used it, and the time until
  /// which its last request may run.
  std::vector<std::pair<uint32_t, Duration>> last_use_;
  std::vector<int> users_;  ///< Members using each seat in this step.
  int handovers_ = 0;
  std::string violation_;

 private:
  void FollowList(TestMember& member, size_t index, Instant local);
  void Start(TestMember& member, size_t index);
  void ChangeFaults();
  void ChangePartition();
  void Run(TestMember& member, size_t index);
  void Deliver(TestMember& member, Instant local);
  void SendAll(TestMember& member, size_t index, Instant local);
  void UseSeats(const TestMember& member, size_t index, Instant local);
  void RecordUse(const TestMember& member, size_t seat);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_MEMBERSHIP_CLUSTER_H_
