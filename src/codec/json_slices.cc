#include "codec/json_slices.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace clementinerill {
namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";

std::string_view Trim(std::string_view text) noexcept {
  const size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) + 1 - begin);
}

// Returns the position after the string that begins at `begin`, or `npos` if it
// is not closed.
size_t EndOfString(std::string_view text, size_t begin) noexcept {
  size_t at = begin + 1;
  while (true) {
    at = text.find_first_of("\"\\", at);
    if (at == std::string_view::npos) {
      return at;
    }
    if (text[at] == '"') {
      return at + 1;
    }
    at += 2;
  }
}

// Returns the elements between the brackets of an array or object; those of an
// object still include their keys.
Result<std::vector<JsonSlice>> SplitContainer(std::string_view text,
                                              char open,
                                              char close) {
  text = Trim(text);
  if (text.size() < 2 || text.front() != open || text.back() != close) {
    return Fail(open == '[' ? "must be a JSON array" : "must be a JSON object");
  }
  const std::string_view inner = text.substr(1, text.size() - 2);
  std::vector<JsonSlice> elements;
  size_t begin = 0;
  size_t depth = 0;
  size_t max_depth = 0;
  const auto add = [&](size_t end) {
    elements.push_back({Trim(inner.substr(begin, end - begin)), max_depth});
    begin = end + 1;
    max_depth = 0;
  };
  size_t at = 0;
  while ((at = inner.find_first_of("\"[]{},", at)) != std::string_view::npos) {
    const char c = inner[at];
    if (c == '"') {
      at = EndOfString(inner, at);
      if (at == std::string_view::npos) {
        return Fail("has a string that is not closed");
      }
      continue;
    }
    if (c == '[' || c == '{') {
      max_depth = std::max(max_depth, ++depth);
    } else if (c == ',' && depth == 0) {
      add(at);
    } else if (c != ',' && depth-- == 0) {
      return Fail("has an unexpected closing bracket");
    }
    ++at;
  }
  if (depth > 0) {
    return Fail("has a bracket that is not closed");
  }
  if (!elements.empty() || !Trim(inner).empty()) {
    add(inner.size());
  }
  return elements;
}

std::optional<JsonMember> ParseMember(const JsonSlice& element) {
  const std::string_view text = element.text_;
  if (text.empty() || text.front() != '"') {
    return std::nullopt;
  }
  const size_t key_end = EndOfString(text, 0);
  if (key_end == std::string_view::npos) {
    return std::nullopt;
  }
  const size_t colon = text.find_first_not_of(kWhiteSpace, key_end);
  if (colon == std::string_view::npos || text[colon] != ':') {
    return std::nullopt;
  }
  const auto key =
      nlohmann::json::parse(text.substr(0, key_end), nullptr, false);
  if (!key.is_string()) {
    return std::nullopt;
  }
  return JsonMember{key.get<std::string>(),
                    {Trim(text.substr(colon + 1)), element.depth_}};
}

}  // namespace

Result<std::vector<JsonSlice>> SplitJsonArray(std::string_view text) {
  return SplitContainer(text, '[', ']');
}

Result<std::vector<JsonMember>> SplitJsonObject(std::string_view text) {
  const auto elements = SplitContainer(text, '{', '}');
  if (!elements) {
    return tl::make_unexpected(elements.error());
  }
  std::vector<JsonMember> members;
  members.reserve(elements->size());
  for (const JsonSlice& element : *elements) {
    auto member = ParseMember(element);
    if (!member) {
      return Fail("has a member without a valid key and value");
    }
    members.push_back(std::move(*member));
  }
  return members;
}

const JsonSlice* FindMember(const std::vector<JsonMember>& members,
                            std::string_view key) noexcept {
  const auto found = std::find_if(
      members.rbegin(), members.rend(),
      [key](const JsonMember& member) { return member.key_ == key; });
  return found == members.rend() ? nullptr : &found->value_;
}

Result<nlohmann::json> ParseJson(const JsonSlice& slice,
                                 const JsonBounds& bounds) {
  if (slice.text_.size() > bounds.max_bytes_) {
    return Fail("is larger than " + std::to_string(bounds.max_bytes_) +
                " bytes");
  }
  if (slice.depth_ > bounds.max_depth_) {
    return Fail("is nested more than " + std::to_string(bounds.max_depth_) +
                " levels deep");
  }
  auto value = nlohmann::json::parse(slice.text_, nullptr, false);
  if (value.is_discarded()) {
    return Fail("is not valid JSON or has a number out of range");
  }
  return value;
}

}  // namespace clementinerill
