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
  sides_.assign(daemons, 0);
  size_t seats = 0;
  for (const GroupPool& pool : group_.pools_) {
    seats += pool.seats_;
  }
  last_use_.resize(seats);
  users_.resize(seats);
  members_.resize(daemons);
  for (size_t i = 0; i < members_.size(); ++i) {
    Start(members_[i], i);
  }
}

int Cluster::Random(int bound) {
  return static_cast<int>(random_() % static_cast<uint64_t>(bound));
}

void Cluster::Publish(const std::vector<std::string>& members,
                      Duration spread) {
  group_.members_ = members;
  ++step_;
  for (TestMember& member : members_) {
    member.sees_list_ =
        now_ + milliseconds(Random(static_cast<int>(ToMilliseconds(spread))));
  }
}

bool Cluster::MayPublish() const {
  return std::any_of(
      members_.begin(), members_.end(), [this](const TestMember& member) {
        const bool runs = member.state_ && now_ >= member.paused_until_;
        return runs && member.step_ == step_ &&
               MayChangeMembers(*member.state_,
                                Instant(now_ + member.clock_offset_));
      });
}

void Cluster::FollowList(TestMember& member, size_t index, Instant local) {
  if (now_ < member.sees_list_ || member.step_ == step_) {
    return;
  }
  member.step_ = step_;
  auto changed = ChangeGroup(*member.state_, group_, names_[index],
                             member.state_->started_, local);
  if (!changed) {
    member.state_.reset();
    return;
  }
  member.state_ = *changed;
}

void Cluster::Start(TestMember& member, size_t index) {
  // A process reads the newest list when it starts.
  member.step_ = step_;
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
  for (int& side : sides_) {
    side = split ? Random(2) : 0;
  }
  isolated_since_ = now_;
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
  std::fill(sides_.begin(), sides_.end(), 0);
}

void Cluster::Step(bool faults) {
  now_ += kStep;
  if (faults && Random(60) == 0) {
    ChangeFaults();
  }
  std::fill(users_.begin(), users_.end(), 0);
  for (size_t i = 0; i < members_.size(); ++i) {
    Run(members_[i], i);
  }
}

void Cluster::RunUntil(Duration end, bool faults) {
  while (now_ < end && violation_.empty()) {
    Step(faults);
  }
}

bool Cluster::EverySeatInUse() const {
  return std::count(users_.begin(), users_.end(), 1) ==
         static_cast<std::ptrdiff_t>(users_.size());
}

void Cluster::Run(TestMember& member, size_t index) {
  if (!member.state_ && now_ >= member.down_until_) {
    Start(member, index);
  }
  if (!member.state_ || now_ < member.paused_until_) {
    return;
  }
  const Instant local = Instant(now_ + member.clock_offset_);
  // Traffic threads may run before the control thread, with the old permits.
  UseSeats(member, index, local);
  FollowList(member, index, local);
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
  std::vector<TestMessage> later;
  for (const TestMessage& message : member.inbox_) {
    if (message.arrival_ > now_) {
      later.push_back(message);
    } else {
      const int sender =
          IndexOf(member.state_->group_, names_[message.sender_]);
      ReceiveHeartbeat(*member.state_, sender, message.heartbeat_, local);
    }
  }
  member.inbox_ = std::move(later);
}

void Cluster::SendAll(TestMember& member, size_t index, Instant local) {
  for (size_t to = 0; to < members_.size(); ++to) {
    const TestLink& link = links_[index][to];
    const bool lost = link.cut_ || sides_[index] != sides_[to] ||
                      Random(100) < link.drop_percent_;
    const int receiver = IndexOf(member.state_->group_, names_[to]);
    if (to == index || receiver < 0) {
      continue;
    }
    const Heartbeat heartbeat =
        MakeHeartbeat(*member.state_, member.status_, receiver, local);
    if (!lost) {
      const auto delay = milliseconds(Random(link.max_delay_ms_));
      members_[to].inbox_.push_back(
          {now_ + delay, static_cast<int>(index), heartbeat});
    }
  }
}

void Cluster::UseSeats(const TestMember& member, size_t index, Instant local) {
  const auto peers = std::count(sides_.begin(), sides_.end(), sides_[index]);
  const bool minority = peers < MajorityOf(member.state_->group_) &&
                        now_ - isolated_since_ >= kSelfFence;
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
  users_[seat] = 1;
}

}  // namespace clementinerill
