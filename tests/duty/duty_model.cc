#include "duty/duty_model.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_set>
#include <utility>

#include "base/hash.h"

namespace clementinerill::duty {
namespace {

constexpr Duration kTick = std::chrono::seconds(1);
constexpr Duration kCallTimeout = kTick;
constexpr int kDaemons = 3;
constexpr BootInstant kStart{20 * kTick};
// Versions of the object to which the store may return, and which a stale read
// may show.
constexpr size_t kVersions = 3;

struct Version {
  int64_t revision_ = 0;
  std::optional<Record> record_;
};

struct Store {
  int64_t era_ = 1;
  std::vector<Version> versions_;  ///< Newest last.
  /// The last version of the era before.
  std::optional<Version> lost_;
};

struct Write {
  Action action_;
  bool is_served_ = false;
  WriteEvent event_;
  BootInstant changed_at_;  ///< When it was sent or served.
};

// The times at which the API may receive calls of one holder. A holder may call
// at any time at which `MayCall` allows it, and the API may receive the call
// until its time-out, in any order with others. So it suffices to know when a
// holder may call first and last.
struct Window {
  int64_t token_ = 0;
  std::string process_;
  int vm_ = 0;
  BootInstant first_;
  BootInstant last_;  ///< With the time-out of the call.
};

struct World {
  BootInstant now_;
  std::array<State, kDaemons> daemons_;
  std::array<int, kDaemons> restarts_{};
  std::array<std::optional<Write>, kDaemons> writes_;
  std::vector<Action> late_writes_;
  Store store_;
  std::vector<Window> windows_;  ///< By token.
  int faults_ = 0;
  int restores_ = 0;
  int restarts_left_ = 0;
};

Rules ModelRules() {
  Rules rules;
  rules.lease_ = 3 * kTick;
  rules.margin_ = Duration::zero();
  rules.renewal_ = kTick;
  rules.poll_ = 5 * kTick;
  rules.retry_ = kTick;
  return rules;
}

std::string NameOf(int vm) {
  return std::string(1, static_cast<char>('A' + vm));
}

// Writes the parts of a world that determine what may happen next. Times count
// from the present one; longer ago than all durations is all the same.
class KeyWriter {
 public:
  KeyWriter(const World& world, bool swap) : world_(world), swap_(swap) {
    text_.reserve(1024);
  }
  void Add(int64_t number) {
    do {
      text_ += static_cast<char>(number);
      number >>= 8;
    } while (number != 0 && number != -1);
    text_ += '|';
  }
  void Add(const std::string& text) { text_ += text + '|'; }
  [[nodiscard]] int Vm(int i) const { return swap_ && i > 0 ? 3 - i : i; }
  void AddProcess(const std::string& process) {
    text_ += static_cast<char>('A' + Vm(process[0] - 'A'));
    text_ += process[1];
  }
  void AddTime(BootInstant now, BootInstant time) {
    constexpr int64_t kOld = 6;
    Add(std::min<int64_t>((now - time) / kTick, kOld));
  }
  template <typename T, typename F>
  void AddOptional(const std::optional<T>& value, F add) {
    Add(value ? 1 : 0);
    if (value) {
      add(*value);
    }
  }
  // Numbers of writes are only compared with those of the same process.
  void AddRecord(const Record& record) {
    AddProcess(record.process_);
    Add(record.token_);
    Add(record.era_);
    const State& writer = world_.daemons_[record.process_[0] - 'A'];
    Add(writer.process_ == record.process_ ? writer.sequence_ - record.sequence_
                                           : 0);
  }
  void AddVersion(const Version& version) {
    Add(version.revision_);
    AddOptional(version.record_, [this](const Record& r) { AddRecord(r); });
  }
  [[nodiscard]] const std::string& Text() const { return text_; }

 private:
  const World& world_;
  const bool swap_;
  std::string text_;
};

void AddState(KeyWriter& key, const State& state, BootInstant now) {
  key.AddProcess(state.process_);
  key.Add(state.era_);
  key.AddOptional(state.known_, [&](const KnownObject& known) {
    key.AddOptional(known.record_, [&](const Record& r) { key.AddRecord(r); });
    key.Add(known.revision_);
    key.AddTime(now, known.since_);
  });
  key.AddOptional(state.lease_, [&](const Lease& lease) {
    key.Add(lease.token_);
    key.AddTime(now, lease.sent_at_);
  });
  key.Add(static_cast<int64_t>(state.unresolved_.size()));
  for (const SentWrite& write : state.unresolved_) {
    key.AddRecord(write.record_);
    key.Add(write.revision_);
    key.AddTime(now, write.sent_at_);
  }
  key.Add(static_cast<int64_t>(state.in_progress_));
  key.Add(state.must_read_ ? 1 : 0);
  key.AddOptional(state.last_read_,
                  [&](BootInstant time) { key.AddTime(now, time); });
  key.Add(state.retry_at_ && now < *state.retry_at_ ? 1 : 0);
}

void AddAction(KeyWriter& key, const Action& action) {
  key.Add(static_cast<int64_t>(action.kind_));
  key.AddRecord(action.record_);
  key.AddOptional(action.revision_, [&](int64_t r) { key.Add(r); });
}

void AddWindows(KeyWriter& key, const World& world) {
  for (const Window& window : world.windows_) {
    key.Add(window.token_);
    key.AddProcess(window.process_);
    key.AddTime(world.now_, window.last_);
  }
}

std::string KeyOf(const World& world, bool swap) {
  KeyWriter key(world, swap);
  for (int i = 0; i < kDaemons; ++i) {
    const int vm = key.Vm(i);
    AddState(key, world.daemons_[vm], world.now_);
    key.AddOptional(world.writes_[vm], [&](const Write& write) {
      AddAction(key, write.action_);
      key.Add(write.is_served_ ? 1 : 0);
      key.Add(write.event_.era_);
      key.Add(write.event_.revision_);
      key.Add(write.changed_at_ < world.now_ ? 1 : 0);
    });
  }
  std::vector<std::string> late;
  for (const Action& write : world.late_writes_) {
    KeyWriter one(world, swap);
    AddAction(one, write);
    late.push_back(one.Text());
  }
  std::sort(late.begin(), late.end());
  key.Add(static_cast<int64_t>(late.size()));
  for (const std::string& text : late) {
    key.Add(text);
  }
  key.Add(world.store_.era_);
  for (const Version& version : world.store_.versions_) {
    key.AddVersion(version);
  }
  key.AddOptional(world.store_.lost_,
                  [&](const Version& version) { key.AddVersion(version); });
  AddWindows(key, world);
  key.Add(world.faults_);
  key.Add(world.restores_);
  key.Add(world.restarts_left_);
  key.Add((world.now_ - kStart) / kTick);
  return key.Text();
}

// The second and the third daemon differ only in their names, so that worlds in
// which they have changed places count as one.
uint64_t HashOf(const World& world, int daemons) {
  const uint64_t hash = Hash64(KeyOf(world, false));
  return daemons < kDaemons ? hash : std::min(hash, Hash64(KeyOf(world, true)));
}

WriteEvent ApplyToStore(Store& store, const Action& write) {
  const Version& newest = store.versions_.back();
  const bool holds =
      write.revision_ ? newest.record_ && newest.revision_ == *write.revision_
                      : !newest.record_;
  if (!holds) {
    return {false, store.era_, 0};
  }
  const int64_t revision = newest.revision_ + 1;
  store.versions_.push_back({revision, write.record_});
  if (store.versions_.size() > kVersions) {
    store.versions_.erase(store.versions_.begin());
  }
  return {true, store.era_, revision};
}

State NewDaemon(int vm, int restarts) {
  State state;
  state.rules_ = ModelRules();
  state.holder_ = NameOf(vm);
  state.process_ = NameOf(vm) + std::to_string(restarts);
  state.candidate_rank_ = 0;
  return state;
}

// Returns which rule a call at the present time may break, or nothing.
std::string BrokenRule(const std::vector<Window>& windows,
                       const Window& present) {
  bool is_other_between = false;
  for (const Window& window : windows) {
    if (window.token_ == present.token_ &&
        window.process_ != present.process_) {
      return "two holders may send the same token";
    }
    if (window.token_ > present.token_ ||
        (window.token_ < present.token_ && window.last_ >= present.first_ &&
         window.process_ != present.process_)) {
      return "the API may receive a token lower than an earlier one";
    }
  }
  for (auto it = windows.rbegin(); it != windows.rend(); ++it) {
    if (it->vm_ != present.vm_) {
      is_other_between = true;
    } else if (is_other_between &&
               present.first_ - it->last_ <= ModelRules().lease_) {
      return "holders may act in the order A, B, A";
    }
  }
  return {};
}

// Records who may call at the present time; returns the rule that this breaks.
std::string Observe(World& world) {
  for (int i = 0; i < kDaemons; ++i) {
    const auto token = MayCall(world.daemons_[i], world.now_, kCallTimeout);
    if (!token) {
      continue;
    }
    const Window present{*token, world.daemons_[i].process_, i, world.now_,
                         world.now_ + kCallTimeout};
    std::string broken = BrokenRule(world.windows_, present);
    if (!broken.empty()) {
      return broken;
    }
    if (world.windows_.empty() ||
        world.windows_.back().token_ != present.token_) {
      world.windows_.push_back(present);
    }
    world.windows_.back().last_ = present.last_;
  }
  return {};
}

class Checker {
 public:
  Checker(const ModelBounds& bounds, const Mutation& mutation)
      : bounds_(bounds), mutation_(mutation) {}

  ModelResult VisitAll() {
    Visit(FirstWorld(), "start");
    while (!queue_.empty() && result_.violation_.empty()) {
      const auto [world, node] = std::move(queue_.front());
      queue_.pop_front();
      node_ = node;
      Expand(world);
    }
    result_.states_ = seen_.size();
    result_.depth_ = nodes_.back().steps_;
    return std::move(result_);
  }

  ModelResult Walk(int walks) {
    std::minstd_rand random(1);
    for (int i = 0; i < walks && result_.violation_.empty(); ++i) {
      nodes_.clear();
      node_ = 0;
      queue_.clear();
      Visit(FirstWorld(), "start");
      while (!queue_.empty() && result_.violation_.empty()) {
        const auto chosen = static_cast<size_t>(random()) % queue_.size();
        const auto [world, node] = std::move(queue_[chosen]);
        queue_.clear();
        node_ = node;
        result_.depth_ = std::max(result_.depth_, nodes_[node].steps_);
        Expand(world);
      }
      result_.states_ += seen_.size();
      seen_.clear();
    }
    return std::move(result_);
  }

 private:
  struct Node {
    size_t parent_ = 0;
    int steps_ = 0;
    std::string label_;
  };

  World FirstWorld() const {
    World world;
    world.now_ = kStart;
    world.faults_ = bounds_.faults_;
    world.restores_ = bounds_.restores_;
    world.restarts_left_ = bounds_.restarts_;
    for (int i = 0; i < kDaemons; ++i) {
      world.daemons_[i] = NewDaemon(i, 0);
    }
    world.store_.versions_.push_back({1, std::nullopt});
    State& holder = world.daemons_[0];
    ApplyRead(holder, {true, 1, std::nullopt, 1}, world.now_ - 4 * kTick);
    Action write = NextAction(holder, world.now_);
    Mutate(holder, write);
    ApplyWrite(holder, ApplyToStore(world.store_, write), world.now_);
    return world;
  }

  void Mutate(State& state, Action& action) const {
    if (mutation_.after_action_ && action.kind_ == ActionKind::kWrite) {
      mutation_.after_action_(state, action);
    }
  }

  void Visit(World world, std::string label) {
    std::string broken = Observe(world);
    if (!seen_.insert(HashOf(world, bounds_.daemons_)).second) {
      return;
    }
    const int steps = nodes_.empty() ? 0 : nodes_[node_].steps_ + 1;
    nodes_.push_back({node_, steps, std::move(label)});
    result_.takeovers_ += world.windows_.size() > 1 ? 1 : 0;
    if (!broken.empty() && result_.violation_.empty()) {
      result_.violation_ = std::move(broken);
      RecordTrace(nodes_.size() - 1);
    }
    queue_.emplace_back(std::move(world), nodes_.size() - 1);
  }

  void Expand(const World& world) {
    PassTime(world);
    RestoreStore(world);
    TakeLateWrites(world);
    for (int i = 0; i < bounds_.daemons_; ++i) {
      Wake(world, i);
      ContinueWrite(world, i);
      LoseResponse(world, i);
      Restart(world, i);
    }
  }

  void PassTime(World world) {
    if (world.now_ - kStart >= bounds_.ticks_ * kTick) {
      return;
    }
    world.now_ += kTick;
    Visit(std::move(world), "time passes");
  }

  void RestoreStore(const World& world) {
    if (world.restores_ == 0) {
      return;
    }
    for (size_t kept = 1; kept < world.store_.versions_.size(); ++kept) {
      World next = world;
      --next.restores_;
      ++next.store_.era_;
      next.store_.lost_ = next.store_.versions_.back();
      next.store_.versions_.resize(kept);
      Visit(std::move(next),
            "the store returns to revision " +
                std::to_string(world.store_.versions_[kept - 1].revision_));
    }
  }

  void TakeLateWrites(const World& world) {
    for (size_t i = 0; i < world.late_writes_.size(); ++i) {
      World next = world;
      const Action write = world.late_writes_[i];
      next.late_writes_.erase(next.late_writes_.begin() +
                              static_cast<std::ptrdiff_t>(i));
      ApplyToStore(next.store_, write);
      Visit(std::move(next),
            "late write of " + write.record_.process_ + " reaches the store");
    }
  }

  void Wake(const World& world, int i) {
    World next = world;
    State& state = next.daemons_[i];
    Action action = NextAction(state, next.now_);
    if (action.kind_ == ActionKind::kRead) {
      Read(next, i);
    } else if (action.kind_ == ActionKind::kWrite) {
      Mutate(state, action);
      const std::string label = state.process_ + " sends a write with token " +
                                std::to_string(action.record_.token_);
      next.writes_[i] = Write{std::move(action), false, {}, next.now_};
      ServeWrite(next, i, label + ", ");
      Visit(std::move(next), label);
    }
  }

  // The response to a read is used at once, but may be that of an earlier time:
  // the same happens when it is on the way for long.
  void Read(const World& world, int i) {
    const Store& store = world.store_;
    const size_t count = store.versions_.size();
    for (size_t v = count > 1 ? count - 2 : 0; v < count; ++v) {
      FinishRead(world, i, store.versions_[v], store.era_);
    }
    if (store.lost_ && world.daemons_[i].era_ < store.era_) {
      FinishRead(world, i, *store.lost_, store.era_ - 1);
    }
  }

  void FinishRead(World world, int i, const Version& version, int64_t era) {
    State& state = world.daemons_[i];
    ApplyRead(state, {true, era, version.record_, version.revision_},
              world.now_);
    std::string label = state.process_ + " reads revision " +
                        std::to_string(version.revision_) + " of era " +
                        std::to_string(era);
    Visit(std::move(world), std::move(label));
  }

  // Sending and receiving changes nothing but the daemon itself, so their order
  // with the steps of others matters only when time passes in between: a write
  // is served when it is sent or after a tick, and so is its response.
  //
  // A refusal is used at once: until then the store would refuse the write at
  // any time.
  void ServeWrite(const World& world, int i, const std::string& label) {
    World next = world;
    Write& write = *next.writes_[i];
    write.is_served_ = true;
    write.changed_at_ = next.now_;
    write.event_ = ApplyToStore(next.store_, write.action_);
    const std::string& process = world.daemons_[i].process_;
    if (write.event_.is_confirmed_) {
      Finish(next, i, label + "the store confirms the write of " + process);
      Visit(std::move(next), label + "the store takes the write of " + process);
    } else {
      Finish(next, i, label + "the store refuses the write of " + process);
    }
  }

  void ContinueWrite(const World& world, int i) {
    const auto& write = world.writes_[i];
    if (!write || write->changed_at_ == world.now_) {
      return;
    }
    if (write->is_served_) {
      Finish(world, i, world.daemons_[i].process_ + " gets the response");
    } else {
      ServeWrite(world, i, {});
    }
  }

  void Finish(World world, int i, std::string label) {
    State& state = world.daemons_[i];
    ApplyWrite(state, world.writes_[i]->event_, world.now_);
    world.writes_[i].reset();
    if (mutation_.after_write_) {
      mutation_.after_write_(state, world.now_);
    }
    Visit(std::move(world), std::move(label));
  }

  void LoseResponse(const World& world, int i) {
    if (!world.writes_[i] || world.faults_ == 0) {
      return;
    }
    World next = world;
    --next.faults_;
    Abandon(next, i);
    ApplyWrite(next.daemons_[i], {}, next.now_);
    Visit(std::move(next),
          world.daemons_[i].process_ + " gets no response to its write");
  }

  static void Abandon(World& world, int i) {
    const auto& write = world.writes_[i];
    if (write && !write->is_served_) {
      world.late_writes_.push_back(write->action_);
    }
    world.writes_[i].reset();
  }

  void Restart(const World& world, int i) {
    if (world.restarts_left_ == 0) {
      return;
    }
    World next = world;
    --next.restarts_left_;
    Abandon(next, i);
    next.daemons_[i] = NewDaemon(i, ++next.restarts_[i]);
    Visit(std::move(next), NameOf(i) + " restarts");
  }

  void RecordTrace(size_t last) {
    for (size_t node = last; node != 0; node = nodes_[node].parent_) {
      result_.trace_.push_back(nodes_[node].label_);
    }
    std::reverse(result_.trace_.begin(), result_.trace_.end());
  }

  const ModelBounds bounds_;
  const Mutation mutation_;
  ModelResult result_;
  std::unordered_set<uint64_t> seen_;
  std::vector<Node> nodes_;
  std::deque<std::pair<World, size_t>> queue_;
  size_t node_ = 0;  ///< The one that is expanded.
};

}  // namespace

ModelResult CheckModel(const ModelBounds& bounds, const Mutation& mutation) {
  return Checker(bounds, mutation).VisitAll();
}

ModelResult WalkModel(const ModelBounds& bounds,
                      int walks,
                      const Mutation& mutation) {
  return Checker(bounds, mutation).Walk(walks);
}

}  // namespace clementinerill::duty
