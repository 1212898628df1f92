#include "gateway/replica_report_decoder.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "base/parse_number.h"

namespace clementinerill::gateway {
namespace {

// Caps of what a replica reports: requests at a time, and the length of a
// warm-up. Larger numbers would overflow in estimates and times.
constexpr uint64_t kMaxLoad = 1000000;
constexpr std::chrono::milliseconds kMaxWarmup = std::chrono::hours(1);

// Cap of a pause; longer ones are taken for a mistake.
constexpr double kMaxPauseS = 3600;

// Cap of a reported pace, of which 100 is usual; far above any machine.
constexpr double kMaxPace = 100000;

std::optional<traffic::ReportedLoad> ParseLoad(std::string_view text) {
  std::array<int, 3> numbers{};
  for (int& number : numbers) {
    const size_t comma = std::min(text.find(','), text.size());
    const auto value = ParseNumberUpTo(text.substr(0, comma), kMaxLoad);
    if (!value) {
      return std::nullopt;
    }
    number = static_cast<int>(*value);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  traffic::ReportedLoad load{numbers[0], numbers[1], numbers[2]};
  // Whatever else follows is ignored, as before there was a fourth number.
  if (const auto pace = ParseDecimal(text); pace && *pace >= 1) {
    load.pace_ = static_cast<int>(std::min(*pace, kMaxPace));
  }
  return load;
}

// Decimal seconds only; a date would depend on the clocks of both sides.
std::optional<Duration> ParsePause(std::string_view text) {
  const auto seconds = ParseDecimal(text);
  if (!seconds) {
    return std::nullopt;
  }
  return FromSeconds(std::min(*seconds, kMaxPauseS));
}

}  // namespace

traffic::ReplicaReport DecodeReplicaReport(const http::HttpResponse& response,
                                           const WireNames& names) {
  const http::Headers& headers = response.headers_;
  traffic::ReplicaReport report;
  report.load_ = ParseLoad(http::FindHeader(headers, names.load_));
  const auto warmup = ParseNumberUpTo(
      http::FindHeader(headers, names.warmup_remaining_), kMaxWarmup.count());
  if (warmup) {
    report.warmup_remaining_ = std::chrono::milliseconds(*warmup);
  }
  report.rate_limit_ =
      ParseDecimal(http::FindHeader(headers, names.rate_limit_));
  if (response.status_ == 503) {
    report.pause_ = ParsePause(http::FindHeader(headers, "Retry-After"));
  }
  return report;
}

bool ReportsDeparture(const http::Headers& headers, const WireNames& names) {
  return http::FindHeader(headers, names.leaving_) == "1";
}

}  // namespace clementinerill::gateway
