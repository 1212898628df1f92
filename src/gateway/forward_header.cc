#include "gateway/forward_header.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "base/parse_number.h"

namespace clementinerill::gateway {
namespace {

// Increased with each change that an older daemon would misunderstand. During a
// rolling restart, daemons of different versions gather their queries
// themselves.
constexpr uint64_t kProtocolVersion = 1;
// With an organisation. Daemons that do not know this version could run the
// query for no organisation.
constexpr uint64_t kProtocolVersionWithOrganisation = 2;
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

std::string EncodeName(std::string_view name) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char byte : name) {
    const auto value = static_cast<unsigned char>(byte);
    if (value > 0x20 && value < 0x7f && byte != '%') {
      text += byte;
    } else {
      text += '%';
      text += kDigits[value / 16];
      text += kDigits[value % 16];
    }
  }
  return text;
}

std::optional<int> DecodeDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return std::nullopt;
}

// Returns `std::nullopt` for text that `EncodeName` does not return.
std::optional<std::string> DecodeName(std::string_view text) {
  std::string name;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      name += text[i];
      continue;
    }
    const auto high =
        i + 2 < text.size() ? DecodeDigit(text[i + 1]) : std::nullopt;
    const auto low = high ? DecodeDigit(text[i + 2]) : std::nullopt;
    if (!low) {
      return std::nullopt;
    }
    name += static_cast<char>(*high * 16 + *low);
    i += 2;
  }
  if (name.empty() || EncodeName(name) != text) {
    return std::nullopt;
  }
  return name;
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
  const bool is_named = !header.organisation_.empty();
  std::string text = std::to_string(is_named ? kProtocolVersionWithOrganisation
                                             : kProtocolVersion) +
                     " " + std::to_string(header.configuration_version_) + " " +
                     std::to_string(header.elapsed_.count());
  if (is_named) {
    text += " " + EncodeName(header.organisation_);
  }
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
  auto words = Split(text, ' ');
  const auto protocol = ParseNumber(words[0]);
  ForwardHeader header;
  if (protocol == kProtocolVersionWithOrganisation && words.size() > 3) {
    auto organisation = DecodeName(words[3]);
    if (!organisation) {
      return std::nullopt;
    }
    header.organisation_ = std::move(*organisation);
    words.erase(words.begin() + 3);
  } else if (protocol != kProtocolVersion) {
    return std::nullopt;
  }
  if (words.size() != 3 && words.size() != 6) {
    return std::nullopt;
  }
  const auto version = ParseNumber(words[1]);
  const auto elapsed = ParseNumberUpTo(words[2], kMaxElapsed.count());
  if (!version || *version > std::numeric_limits<int64_t>::max() || !elapsed) {
    return std::nullopt;
  }
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
