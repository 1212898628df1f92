// Measures the CPU time and network traffic of heartbeats per daemon.

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "peer/codec.h"

namespace clementinerill {
namespace {

constexpr int kRounds = 120;
constexpr double kCorePercentBound = 1.5;
constexpr double kBytesBound = 3000.0;
// Header of a masked WebSocket frame with a payload of up to 125 bytes. TCP and
// IP headers are not included.
constexpr size_t kFrameHeaderBytes = 6;

struct Fleet {
  int daemons_ = 0;
  int seats_ = 0;  ///< Per pool.
};

struct Cost {
  double cpu_seconds_ = 0;  ///< Per daemon and round.
  double bytes_ = 0;        ///< Sent per daemon and round.
};

const SelfStatus kStatus{470, 0xfedcba98, false};
// 60 days after process start, when encoded send times are longest.
constexpr Instant kProcessStart{std::chrono::hours(1)};
constexpr Instant kStart = kProcessStart + std::chrono::hours(24 * 60);

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::vector<WitnessGroup> MakeGroups(const Fleet& fleet) {
  std::vector<std::string> names;
  names.reserve(fleet.daemons_);
  for (int i = 0; i < fleet.daemons_; ++i) {
    names.push_back("entry-" + std::to_string(i));
  }
  std::vector<GroupPool> pools;
  for (const char* name : {"claims", "billing", "docket", "intake"}) {
    pools.push_back({name, fleet.seats_, std::chrono::seconds(10)});
  }
  return MakeWitnessGroups(names, pools);
}

int MaxGroupsPerDaemon(const std::vector<WitnessGroup>& groups) {
  std::map<std::string, int> group_counts;
  int max_groups = 0;
  for (const WitnessGroup& group : groups) {
    for (const std::string& member : group.members_) {
      max_groups = std::max(max_groups, ++group_counts[member]);
    }
  }
  return max_groups;
}

void Receive(GroupState& state,
             size_t sender,
             const std::string& bytes,
             Instant now) {
  const auto message = DecodeMessage(bytes);
  ReceiveHeartbeat(state, static_cast<int>(sender),
                   std::get<Heartbeat>(*message), now);
  Advance(state, kStatus, now);
}

// Runs one heartbeat round between all members, in which each heartbeat is
// encoded, decoded and applied. Returns the bytes sent.
size_t RunRound(std::vector<GroupState>& states, Instant now) {
  size_t bytes = 0;
  for (size_t from = 0; from < states.size(); ++from) {
    Advance(states[from], kStatus, now);
    for (size_t to = 0; to < states.size(); ++to) {
      if (from == to) {
        continue;
      }
      const std::string message = EncodeMessage(
          MakeHeartbeat(states[from], kStatus, static_cast<int>(to), now));
      bytes += message.size() + kFrameHeaderBytes;
      Receive(states[to], from, message, now);
    }
  }
  return bytes;
}

Cost Measure(const WitnessGroup& group) {
  std::vector<GroupState> states;
  for (size_t i = 0; i < group.members_.size(); ++i) {
    states.push_back(*MakeGroupState(group, group.members_[i],
                                     0xfffffff0U + static_cast<uint32_t>(i),
                                     kProcessStart, kStart));
  }
  Instant now = kStart;
  size_t bytes = 0;
  const double before = CpuSeconds();
  for (int round = 0; round < kRounds; ++round) {
    now += kHeartbeatInterval;
    bytes = RunRound(states, now);
  }
  const double spent = CpuSeconds() - before;
  const auto size = static_cast<double>(states.size());
  return {spent / kRounds / size, static_cast<double>(bytes) / size};
}

bool PrintResult(const std::string& name,
                 double value,
                 double bound,
                 const char* unit) {
  const bool ok = value <= bound;
  std::printf(
      "{\"name\":\"%s\",\"value\":%.4g,\"bound\":%.4g,\"unit\":\"%s\","
      "\"ok\":%s}\n",
      name.c_str(), value, bound, unit, ok ? "true" : "false");
  return ok;
}

bool ReportFleet(const Fleet& fleet) {
  const auto groups = MakeGroups(fleet);
  const Cost cost = Measure(groups[0]);
  const double rounds_per_second =
      1.0 / std::chrono::duration<double>(kHeartbeatInterval).count();
  const double rounds = rounds_per_second * MaxGroupsPerDaemon(groups);
  const std::string suffix = "_" + std::to_string(fleet.daemons_) + "_daemons";
  const bool fast =
      PrintResult("membership_core" + suffix, cost.cpu_seconds_ * rounds * 100,
                  kCorePercentBound, "percent of a core");
  const bool small = PrintResult("membership_sent" + suffix,
                                 cost.bytes_ * rounds, kBytesBound, "bytes/s");
  return fast && small;
}

}  // namespace
}  // namespace clementinerill

int main() {
  bool ok = true;
  for (const auto& fleet :
       {clementinerill::Fleet{9, 3}, clementinerill::Fleet{100, 10},
        clementinerill::Fleet{770, 20}}) {
    ok = clementinerill::ReportFleet(fleet) && ok;
  }
  return ok ? 0 : 1;
}
