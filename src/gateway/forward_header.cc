#include "gateway/forward_header.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "base/parse_number.h"

namespace clementinerill::gateway {
namespace {

// Increased with each change that an older daemon would misunderstand. During a
// rolling restart, daemons of different versions gather their queries
// themselves.
constexpr uint64_t kProtocolVersion = 1;
constexpr std::chrono::milliseconds kMaxElapsed = std::chrono::hours(1);
// Limit of part indices, far above the number of shards of a route.
constexpr uint64_t kMaxPart = 100000;

// Splits at `separator`; an empty text has one empty word.
std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> words;
  while (true) {
    const size_t end = std::min(text.find(separator), text.size());
    words.push_back(text.substr(0, end));
    if (end == text.size()) {
      return words;
    }
    text.remove_prefix(end + 1);
  }
}

std::optional<traffic::PartSubset> DecodeSubset(std::string_view missing,
                                                std::string_view skipped,
                                                std::string_view parts) {
  const auto max_missing = ParseNumber(missing);
  const auto max_skipped = ParseNumber(skipped);
  if (!max_missing || !max_skipped || *max_missing > kMaxPart ||
      *max_skipped > kMaxPart) {
    return std::nullopt;
  }
  traffic::PartSubset subset;
  subset.max_missing_ = *max_missing;
  subset.max_skipped_ = *max_skipped;
  for (const std::string_view word : Split(parts, ',')) {
    const auto part = ParseNumber(word);
    // Ascending, so that no part occurs twice.
    if (!part || *part > kMaxPart ||
        (!subset.parts_.empty() && *part <= subset.parts_.back())) {
      return std::nullopt;
    }
    subset.parts_.push_back(*part);
  }
  return subset;
}

}  // namespace

std::string EncodeForwardHeader(const ForwardHeader& header) {
  std::string text = std::to_string(kProtocolVersion) + " " +
                     std::to_string(header.configuration_version_) + " " +
                     std::to_string(header.elapsed_.count());
  if (header.subset_) {
    text += " " + std::to_string(header.subset_->max_missing_) + " " +
            std::to_string(header.subset_->max_skipped_);
    char separator = ' ';
    for (const size_t part : header.subset_->parts_) {
      text += separator + std::to_string(part);
      separator = ',';
    }
  }
  return text;
}

std::optional<ForwardHeader> DecodeForwardHeader(std::string_view text) {
  const auto words = Split(text, ' ');
  if ((words.size() != 3 && words.size() != 6) ||
      ParseNumber(words[0]) != kProtocolVersion) {
    return std::nullopt;
  }
  const auto version = ParseNumber(words[1]);
  const auto elapsed = ParseNumberUpTo(words[2], kMaxElapsed.count());
  if (!version || *version > std::numeric_limits<int64_t>::max() || !elapsed) {
    return std::nullopt;
  }
  ForwardHeader header;
  header.configuration_version_ = static_cast<int64_t>(*version);
  header.elapsed_ = std::chrono::milliseconds(*elapsed);
  if (words.size() == 6) {
    header.subset_ = DecodeSubset(words[3], words[4], words[5]);
    if (!header.subset_) {
      return std::nullopt;
    }
  }
  return header;
}

}  // namespace clementinerill::gateway
