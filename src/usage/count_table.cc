#include "usage/count_table.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/hash.h"

namespace clementinerill::usage {
namespace {

// Bound of a table: at about 120 bytes an entry it takes 24 MB. 1,000 daemons
// with 1,800 requests/s have at most 100,000 entries in 11 windows of 5 s.
constexpr size_t kMaxEntries = 200'000;
// Largest count of an entry, so that sums stay in range.
constexpr int64_t kMaxCount = 1'000'000'000'000;
// Separates the daemon and the process in a process name.
constexpr char kSeparator = '#';
// Base-36 digits of the parts of a process name. 1,000 daemons share a key with
// a probability of 6 in a million; a process shares its name with an earlier
// one of its daemon with one of 1 in 60 million.
constexpr int kDaemonDigits = 7;
constexpr int kProcessDigits = 5;

std::string Digits(uint64_t number, int digits) {
  constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuvwxyz";
  std::string text;
  for (int i = 0; i < digits; ++i) {
    text += kDigits[number % kDigits.size()];
    number /= kDigits.size();
  }
  return text;
}

bool IsKept(const CountTable& table, int64_t window) {
  return window >= table.first_window_ && window <= table.last_window_;
}

CountTable::Entry* FindOrAdd(CountTable& table,
                             const std::string& process,
                             int64_t window,
                             const std::string& organisation) {
  if (!IsKept(table, window)) {
    return nullptr;
  }
  auto& organisations = table.windows_[window][process].organisations_;
  const auto known = organisations.find(organisation);
  if (known != organisations.end()) {
    return &known->second;
  }
  if (table.entries_ >= kMaxEntries) {
    ++table.dropped_;
    return nullptr;
  }
  ++table.entries_;
  return &organisations[organisation];
}

void Set(CountTable& table,
         CountTable::Entry& entry,
         CountTable::ProcessCounts& process,
         int64_t count,
         bool is_direct) {
  entry.count_ = std::min(count, kMaxCount);
  entry.is_direct_ = is_direct;
  entry.version_ = ++table.version_;
  process.version_ = entry.version_;
}

size_t CountEntries(const CountTable::Window& window) {
  size_t entries = 0;
  for (const auto& [process, counts] : window) {
    entries += counts.organisations_.size();
  }
  return entries;
}

bool IsInScope(const CountTable::Entry& entry, CountScope scope) {
  return scope != CountScope::kDirect || entry.is_direct_;
}

}  // namespace

void KeepWindows(CountTable& table, int64_t first, int64_t last) {
  table.first_window_ = first;
  table.last_window_ = last;
  for (auto it = table.windows_.begin(); it != table.windows_.end();) {
    if (IsKept(table, it->first)) {
      ++it;
    } else {
      table.entries_ -= CountEntries(it->second);
      it = table.windows_.erase(it);
    }
  }
}

void AddOwn(CountTable& table,
            const std::string& process,
            int64_t window,
            const std::string& organisation,
            int64_t requests) {
  if (auto* entry = FindOrAdd(table, process, window, organisation)) {
    Set(table, *entry, table.windows_[window][process],
        entry->count_ + requests, true);
  }
}

void Merge(CountTable& table, const Count& count, bool is_direct) {
  auto* entry =
      FindOrAdd(table, count.process_, count.window_, count.organisation_);
  if (!entry ||
      (count.count_ <= entry->count_ && (entry->is_direct_ || !is_direct))) {
    return;
  }
  Set(table, *entry, table.windows_[count.window_][count.process_],
      std::max(count.count_, entry->count_), entry->is_direct_ || is_direct);
}

CountChanges ChangesAfter(const CountTable& table,
                          uint64_t version,
                          CountScope scope,
                          const std::string& process,
                          size_t limit) {
  std::vector<std::pair<uint64_t, Count>> changes;
  for (const auto& [window, processes] : table.windows_) {
    for (const auto& [name, counts] : processes) {
      if (counts.version_ <= version ||
          (scope == CountScope::kOwn && name != process)) {
        continue;
      }
      for (const auto& [organisation, entry] : counts.organisations_) {
        if (entry.version_ > version && IsInScope(entry, scope)) {
          changes.push_back(
              {entry.version_, {name, window, organisation, entry.count_}});
        }
      }
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  CountChanges part;
  part.version_ = table.version_;
  if (changes.size() > limit) {
    changes.resize(limit);
    part.version_ = changes.back().first;
  }
  for (auto& [changed, count] : changes) {
    part.counts_.push_back(std::move(count));
  }
  return part;
}

std::map<std::string, int64_t> SumOf(const CountTable& table, int64_t window) {
  std::map<std::string, int64_t> sum;
  const auto known = table.windows_.find(window);
  if (known == table.windows_.end()) {
    return sum;
  }
  for (const auto& [process, counts] : known->second) {
    for (const auto& [organisation, entry] : counts.organisations_) {
      if (!organisation.empty()) {
        sum[organisation] += entry.count_;
      }
    }
  }
  return sum;
}

std::optional<int64_t> FirstFullWindow(const CountTable& table) {
  for (const auto& [window, processes] : table.windows_) {
    for (const auto& [process, counts] : processes) {
      const auto mark = counts.organisations_.find("");
      if (mark != counts.organisations_.end() &&
          mark->second.count_ >= static_cast<int64_t>(Mark::kFull)) {
        return window;
      }
    }
  }
  return std::nullopt;
}

bool HasMarks(const CountTable& table, int64_t window) {
  const auto known = table.windows_.find(window);
  return known != table.windows_.end() &&
         std::any_of(known->second.begin(), known->second.end(),
                     [](const auto& process) {
                       return process.second.organisations_.count("") > 0;
                     });
}

std::map<std::string, int64_t> LastMarks(const CountTable& table) {
  std::map<std::string, int64_t> marks;
  for (const auto& [window, processes] : table.windows_) {
    for (const auto& [process, counts] : processes) {
      if (counts.organisations_.count("") > 0) {
        marks[KeyOfProcess(process)] = window;
      }
    }
  }
  return marks;
}

std::string DaemonKey(const std::string& daemon) {
  return Digits(Hash64(daemon), kDaemonDigits);
}

std::string ProcessName(const std::string& daemon, uint64_t random) {
  return DaemonKey(daemon) + kSeparator + Digits(random, kProcessDigits);
}

std::string KeyOfProcess(const std::string& process) {
  return process.substr(0, process.rfind(kSeparator));
}

}  // namespace clementinerill::usage
