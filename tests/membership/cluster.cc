#include "membership/cluster.h"

#include <algorithm>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kDeadline = milliseconds(400);

std::vector<std::string> TestNames(int count) {
  std::vector<std::string> names;
  names.reserve(count);
  for (int i = 0; i < count; ++i) {
    names.push_back("daemon-" + std::to_string(i));
  }
  return names;
}

}  // namespace

Cluster::Cluster(int size, uint64_t seed)
    : Cluster(size,
              size,
              seed,
              {{"claims", 3, kDeadline}, {"billing", 2, kDeadline}}) {}

Cluster::Cluster(int daemons,
                 int size,
                 uint64_t seed,
                 std::vector<GroupPool> pools)
    : random_(seed), names_(TestNames(daemons)) {
  group_ = {"all", TestNames(size), std::move(pools)};
  links_.assign(daemons, std::vector<TestLink>(daemons));
  partitions_.assign(daemons, 0);
  size_t seats = 0;
  for (const GroupPool& pool : group_.pools_) {
    seats += pool.seats_;
  }
  last_use_.resize(seats);
  in_use_.resize(seats);
  members_.resize(daemons);
  for (size_t i = 0; i < members_.size(); ++i) {
    Start(members_[i], i);
  }
}

int Cluster::Random(int bound) {
  return static_cast<int>(random_() % static_cast<uint64_t>(bound));
}

void Cluster::PublishList(const std::vector<std::string>& members,
                          Duration max_delay) {
  group_.members_ = members;
  ++list_version_;
  for (TestMember& member : members_) {
    member.list_visible_at_ =
        now_ +
        milliseconds(Random(static_cast<int>(ToMilliseconds(max_delay))));
  }
}

bool Cluster::MayPublishList() const {
  return std::any_of(
      members_.begin(), members_.end(), [this](const TestMember& member) {
        const bool runs = member.state_ && now_ >= member.paused_until_;
        return runs && member.list_version_ == list_version_ &&
               MayChangeMembers(*member.state_,
                                Instant(now_ + member.clock_offset_));
      });
}

void Cluster::ApplyList(TestMember& member, size_t index, Instant local) {
  if (now_ < member.list_visible_at_ || member.list_version_ == list_version_) {
    return;
  }
  member.list_version_ = list_version_;
  auto changed = ChangeGroup(*member.state_, group_, names_[index],
                             member.state_->started_, local);
  if (!changed) {
    member.state_.reset();
    return;
  }
  member.state_ = *changed;
}

void Cluster::Start(TestMember& member, size_t index) {
  // A process reads the latest list when it starts.
  member.list_version_ = list_version_;
  if (IndexOf(group_, names_[index]) < 0) {
    return;
  }
  member.clock_offset_ = milliseconds(1000000 + Random(1000000));
  member.status_.leaving_ = false;
  const Instant local = Instant(now_ + member.clock_offset_);
  member.state_ =
      *MakeGroupState(group_, names_[index],
                      static_cast<uint32_t>(random_()) | 1U, local, local);
  member.next_heartbeat_ = now_ + milliseconds(Random(500));
}

void Cluster::ChangePartition() {
  const bool split = Random(3) > 0;
  for (int& partition : partitions_) {
    partition = split ? Random(2) : 0;
  }
  partition_start_ = now_;
}

void Cluster::ChangeFaults() {
  const auto size = static_cast<int>(members_.size());
  TestLink& link = links_[Random(size)][Random(size)];
  TestMember& member = members_[Random(size)];
  switch (Random(8)) {
    case 0:
      link = {Random(2) == 0, 0, 20};
      break;
    case 1:
      link = {false, Random(100), Random(4) == 0 ? 4000 : 300};
      break;
    case 2:
      member.paused_until_ = now_ + milliseconds(Random(7000));
      break;
    case 3:
      member.state_.reset();
      member.inbox_.clear();
      member.down_until_ = now_ + milliseconds(Random(4000));
      break;
    case 4:
      member.status_.leaving_ = Random(2) == 0;
      break;
    case 5:
      ChangePartition();
      break;
    default:
      for (auto& row : links_) {
        row.assign(row.size(), TestLink{});
      }
  }
}

void Cluster::Heal() {
  for (TestMember& member : members_) {
    member.paused_until_ = now_;
    member.down_until_ = now_;
    member.status_.leaving_ = false;
  }
  for (auto& row : links_) {
    row.assign(row.size(), TestLink{});
  }
  std::fill(partitions_.begin(), partitions_.end(), 0);
}

void Cluster::Step(bool faults) {
  now_ += kStep;
  if (faults && Random(60) == 0) {
    ChangeFaults();
  }
  std::fill(in_use_.begin(), in_use_.end(), 0);
  for (size_t i = 0; i < members_.size(); ++i) {
    RunMember(members_[i], i);
  }
}

void Cluster::RunUntil(Duration end, bool faults) {
  while (now_ < end && violation_.empty()) {
    Step(faults);
  }
}

bool Cluster::EverySeatInUse() const {
  return std::count(in_use_.begin(), in_use_.end(), 1) ==
         static_cast<std::ptrdiff_t>(in_use_.size());
}

void Cluster::RunMember(TestMember& member, size_t index) {
  if (!member.state_ && now_ >= member.down_until_) {
    Start(member, index);
  }
  if (!member.state_ || now_ < member.paused_until_) {
    return;
  }
  const Instant local = Instant(now_ + member.clock_offset_);
  // Traffic threads may run before the control thread and then use the permits
  // from before its update.
  UseSeats(member, index, local);
  ApplyList(member, index, local);
  if (!member.state_) {
    return;
  }
  Deliver(member, local);
  Advance(*member.state_, member.status_, local);
  UseSeats(member, index, local);
  if (now_ >= member.next_heartbeat_) {
    SendAll(member, index, local);
    member.next_heartbeat_ = now_ + kHeartbeatInterval;
  }
}

void Cluster::Deliver(TestMember& member, Instant local) {
  std::vector<TestMessage> pending;
  for (const TestMessage& message : member.inbox_) {
    if (message.arrival_ > now_) {
      pending.push_back(message);
    } else {
      const int sender =
          IndexOf(member.state_->group_, names_[message.sender_]);
      ReceiveHeartbeat(*member.state_, sender, message.heartbeat_, local);
    }
  }
  member.inbox_ = std::move(pending);
}

void Cluster::SendAll(TestMember& member, size_t index, Instant local) {
  for (size_t receiver_index = 0; receiver_index < members_.size();
       ++receiver_index) {
    const TestLink& link = links_[index][receiver_index];
    const bool lost = link.cut_ ||
                      partitions_[index] != partitions_[receiver_index] ||
                      Random(100) < link.drop_percent_;
    const int receiver = IndexOf(member.state_->group_, names_[receiver_index]);
    if (receiver_index == index || receiver < 0) {
      continue;
    }
    const Heartbeat heartbeat =
        MakeHeartbeat(*member.state_, member.status_, receiver, local);
    if (!lost) {
      const auto delay = milliseconds(Random(link.max_delay_ms_));
      members_[receiver_index].inbox_.push_back(
          {now_ + delay, static_cast<int>(index), heartbeat});
    }
  }
}

void Cluster::UseSeats(const TestMember& member, size_t index, Instant local) {
  const auto peers =
      std::count(partitions_.begin(), partitions_.end(), partitions_[index]);
  const bool minority = peers < MajorityOf(member.state_->group_) &&
                        now_ - partition_start_ >= kLeaseDuration;
  for (size_t seat = 0; seat < last_use_.size(); ++seat) {
    if (!MayUseSeat(member.state_->seats_[seat].permit_, local)) {
      continue;
    }
    if (minority) {
      violation_ = "a member of a minority uses a seat";
    }
    RecordUse(member, seat);
  }
}

void Cluster::RecordUse(const TestMember& member, size_t seat) {
  auto& [user, until] = last_use_[seat];
  const uint32_t process = member.state_->incarnation_;
  if (user != process) {
    if (now_ < until) {
      violation_ = "two processes use the same seat";
    }
    ++handovers_;
  }
  user = process;
  until = now_ + kDeadline;
  in_use_[seat] = 1;
}

}  // namespace clementinerill
