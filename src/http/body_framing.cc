#include "http/body_framing.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace clementinerill::http {
namespace {

std::string_view Trim(std::string_view text) noexcept {
  constexpr std::string_view kWhiteSpace = " \t";
  const size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) + 1 - begin);
}

// Appends the elements of a comma-separated list; empty ones are allowed and
// ignored.
void AppendElements(std::string_view list,
                    std::vector<std::string_view>& elements) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    const std::string_view element = Trim(list.substr(0, comma));
    if (!element.empty()) {
      elements.push_back(element);
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

// Names of codings and of header fields are both case-insensitive.
bool IsChunked(std::string_view coding) noexcept {
  return IsSameHeaderName(coding, "chunked");
}

}  // namespace

BodyFraming CheckBodyFraming(const Headers& headers, bool is_http_1_0) {
  bool has_field = false;
  std::vector<std::string_view> codings;
  for (const auto& [name, value] : headers) {
    if (IsSameHeaderName(name, "Transfer-Encoding")) {
      has_field = true;
      AppendElements(value, codings);
    }
  }
  if (!has_field) {
    return BodyFraming::kSupported;
  }
  // The chunked coding may be applied once only.
  if (is_http_1_0 || codings.empty() || !IsChunked(codings.back()) ||
      std::count_if(codings.begin(), codings.end(), IsChunked) > 1) {
    return BodyFraming::kUnknownEnd;
  }
  return codings.size() == 1 ? BodyFraming::kSupported
                             : BodyFraming::kUnsupportedCoding;
}

}  // namespace clementinerill::http
