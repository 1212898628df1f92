#include "http/connection_use.h"

namespace clementinerill::http {
namespace {

// A caller that has just connected, or has its response, may be sending its
// request. It gets this long, also on a VM that has the CPU only at times.
constexpr Duration kMinUnchanged = std::chrono::milliseconds(100);

bool IsBetterToClose(const ConnectionState& a,
                     const ConnectionState& b) noexcept {
  const bool a_is_idle = a.use_ == ConnectionUse::kIdle;
  const bool b_is_idle = b.use_ == ConnectionUse::kIdle;
  return a_is_idle != b_is_idle ? b_is_idle : a.since_ < b.since_;
}

}  // namespace

std::optional<size_t> ChooseConnectionToClose(
    const std::vector<ConnectionState>& connections,
    Instant now) noexcept {
  std::optional<size_t> best;
  for (size_t i = 0; i < connections.size(); ++i) {
    const ConnectionState& state = connections[i];
    if (state.use_ != ConnectionUse::kServing &&
        now - state.since_ >= kMinUnchanged &&
        (!best || IsBetterToClose(state, connections[*best]))) {
      best = i;
    }
  }
  return best;
}

}  // namespace clementinerill::http
