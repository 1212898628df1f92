#include "mirror/usage_codec.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "base/parse_number.h"

namespace clementinerill::mirror {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Largest time since 1970 that a message can name, so that sums stay in range.
constexpr milliseconds kMaxWallTime = std::chrono::hours(24 * 365 * 1000);
constexpr milliseconds kMaxHeld = std::chrono::hours(24);
constexpr int64_t kMaxCount = 1'000'000'000'000;
// Bounds of one message. Ones that this program sends are smaller.
constexpr size_t kMaxCounts = 20'000;
constexpr size_t kMaxNameBytes = 1024;
// Largest number of a window, and largest difference of two in one message.
constexpr int64_t kMaxWindow = 1'000'000'000'000'000;
constexpr uint64_t kMaxWindows = 1'000'000;

// Windows are relative to `first`, and the name of the sending process is left
// out of its own counts, so that a count takes few bytes.
json EncodeCounts(const usage::Message& usage, int64_t first) {
  json encoded = json::object();
  for (const usage::Count& count : usage.counts_) {
    const bool is_own = count.process_ == usage.process_;
    encoded[is_own ? std::string() : count.process_]
           [std::to_string(count.window_ - first)][count.organisation_] =
               count.count_;
  }
  return encoded;
}

void DecodeProcess(const std::string& process,
                   const json& windows,
                   int64_t first,
                   std::vector<usage::Count>& counts) {
  for (const auto& [text, organisations] : windows.items()) {
    const auto window = ParseNumberUpTo(text, kMaxWindows);
    for (const auto& [organisation, count] : organisations.items()) {
      const bool is_usable = window && process.size() <= kMaxNameBytes &&
                             organisation.size() <= kMaxNameBytes &&
                             counts.size() < kMaxCounts;
      if (is_usable) {
        counts.push_back(
            {process, first + static_cast<int64_t>(*window), organisation,
             std::clamp<int64_t>(count.get<int64_t>(), 0, kMaxCount)});
      }
    }
  }
}

std::optional<usage::WallTime> DecodeWallTime(const json& message,
                                              const char* key) {
  if (!message.contains(key)) {
    return std::nullopt;
  }
  return std::clamp(milliseconds(message.at(key).get<int64_t>()),
                    milliseconds(0), kMaxWallTime);
}

}  // namespace

void AddUsage(json& message, const std::optional<usage::Message>& usage) {
  if (!usage) {
    return;
  }
  json encoded = {{"process", usage->process_},
                  {"since", usage->since_},
                  {"version", usage->version_}};
  if (!usage->counts_.empty()) {
    const int64_t first =
        std::min_element(usage->counts_.begin(), usage->counts_.end(),
                         [](const usage::Count& a, const usage::Count& b) {
                           return a.window_ < b.window_;
                         })
            ->window_;
    encoded["first"] = first;
    encoded["counts"] = EncodeCounts(*usage, first);
  }
  if (usage->known_) {
    encoded["known"] = {usage->known_->process_, usage->known_->version_};
  }
  if (usage->wall_) {
    encoded["wall_ms"] = usage->wall_->count();
  }
  if (usage->agreed_) {
    encoded["agreed_ms"] = usage->agreed_->count();
  }
  if (usage->held_ > milliseconds(0)) {
    encoded["held_ms"] = usage->held_.count();
  }
  message["usage"] = std::move(encoded);
}

std::optional<usage::Message> DecodeUsage(const json& message) {
  if (!message.contains("usage")) {
    return std::nullopt;
  }
  const json& encoded = message.at("usage");
  usage::Message usage;
  usage.process_ = encoded.at("process").get<std::string>();
  usage.since_ = encoded.at("since").get<uint64_t>();
  usage.version_ = encoded.at("version").get<uint64_t>();
  if (encoded.contains("counts")) {
    const int64_t first =
        std::clamp<int64_t>(encoded.at("first").get<int64_t>(), 0, kMaxWindow);
    for (const auto& [process, windows] : encoded.at("counts").items()) {
      DecodeProcess(process.empty() ? usage.process_ : process, windows, first,
                    usage.counts_);
    }
  }
  if (encoded.contains("known")) {
    const json& known = encoded.at("known");
    usage.known_ = {known.at(0).get<std::string>(),
                    known.at(1).get<uint64_t>()};
  }
  usage.wall_ = DecodeWallTime(encoded, "wall_ms");
  usage.agreed_ = DecodeWallTime(encoded, "agreed_ms");
  usage.held_ = std::clamp(milliseconds(encoded.value("held_ms", int64_t{0})),
                           milliseconds(0), kMaxHeld);
  return usage;
}

}  // namespace clementinerill::mirror
