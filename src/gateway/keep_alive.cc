#include "gateway/keep_alive.h"

#include "base/parse_number.h"

namespace clementinerill::gateway {
namespace {

// Cap of the idle timeout that a replica names; longer ones would overflow when
// added to a time.
constexpr std::chrono::seconds kMaxKeepAlive = std::chrono::hours(1);

}  // namespace

std::optional<Duration> ParseKeepAlive(std::string_view text) {
  constexpr std::string_view kKey = "timeout=";
  const size_t at = text.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(at + kKey.size());
  const auto seconds = ParseNumberUpTo(
      text.substr(0, text.find_first_of(", ;")), kMaxKeepAlive.count());
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

}  // namespace clementinerill::gateway
