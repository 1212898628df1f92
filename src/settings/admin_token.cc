#include "settings/admin_token.h"

#include <algorithm>

namespace clementinerill {
namespace {

constexpr size_t kMinTokenLength = 16;
constexpr size_t kMaxTokenLength = 256;

bool IsPrintableNonSpace(char c) noexcept {
  return c > ' ' && c < '\x7f';
}

}  // namespace

Result<Secret> ParseAdminToken(const std::string& text) {
  const bool is_valid_length =
      text.size() >= kMinTokenLength && text.size() <= kMaxTokenLength;
  if (!is_valid_length ||
      !std::all_of(text.begin(), text.end(), IsPrintableNonSpace)) {
    return Fail("must be 16 to 256 printable ASCII characters without spaces");
  }
  return Secret(text);
}

Result<Secret> ParseAdminTokenFile(const std::string& contents) {
  const size_t last = contents.find_last_not_of(" \t\r\n");
  return ParseAdminToken(
      contents.substr(0, last == std::string::npos ? 0 : last + 1));
}

}  // namespace clementinerill
