#include "usage/agreed_clock.h"

#include <algorithm>
#include <vector>

namespace clementinerill::usage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest round trip of a sample, without the time for which the response was
// held. Half of it is the possible error. A response that waited for a frozen
// process takes longer.
constexpr milliseconds kMaxRoundTrip{200};
// Age at which a sample is dropped: its daemon may be gone. Daemons exchange
// samples every few seconds.
constexpr seconds kMaxSampleAge{30};
// Fewest clocks that outvote one wrong clock.
constexpr size_t kMinClocks = 3;
// A daemon that has heard of too few others by then uses the clocks it has.
// Daemons start within 0.3 s and exchange samples twice a second.
constexpr seconds kMaxStartDelay{4};
// With too few clocks, a contradiction is a step of one of them until it has
// lasted for this long.
constexpr seconds kMaxContradiction{60};
// Largest difference that drift and errors of samples explain.
constexpr milliseconds kTolerance{200};

std::optional<ClockSample> MakeSample(WallTime time, const RoundTrip& trip) {
  const auto took =
      std::chrono::duration_cast<milliseconds>(trip.received_ - trip.sent_) -
      trip.held_;
  if (took < milliseconds(-1) || took > kMaxRoundTrip) {
    return std::nullopt;
  }
  const auto received = std::chrono::duration_cast<milliseconds>(
      trip.received_.time_since_epoch());
  return ClockSample{time + took / 2 - received, trip.received_};
}

bool IsFresh(const std::optional<ClockSample>& sample, BootInstant now) {
  return sample && now - sample->taken_ <= kMaxSampleAge;
}

// Every offset between the two middle ones of an even number is a median; the
// one closest to the previous offset avoids needless changes.
ClockOffset Median(std::vector<ClockOffset> offsets,
                   std::optional<ClockOffset> previous) {
  std::sort(offsets.begin(), offsets.end());
  const ClockOffset low = offsets[(offsets.size() - 1) / 2];
  const ClockOffset high = offsets[offsets.size() / 2];
  return previous ? std::clamp(*previous, low, high) : low + (high - low) / 2;
}

// Decides by fewer clocks than can outvote a wrong one.
void AgreeByFew(AgreedClock& clock, ClockOffset median, BootInstant now) {
  const auto difference = std::chrono::abs(
      clock.offset_ ? median - *clock.offset_ : milliseconds(0));
  if (!clock.offset_ || difference <= kTolerance) {
    clock.contradicted_since_.reset();
    if (clock.offset_ || now - clock.started_ >= kMaxStartDelay) {
      clock.offset_ = median;
    }
    return;
  }
  if (!clock.contradicted_since_) {
    clock.contradicted_since_ = now;
  } else if (now - *clock.contradicted_since_ >= kMaxContradiction) {
    clock.contradicted_since_.reset();
    clock.offset_ = median;
  }
}

}  // namespace

void RecordOwnClock(AgreedClock& clock, WallTime wall, BootInstant now) {
  clock.own_ = {
      wall - std::chrono::duration_cast<milliseconds>(now.time_since_epoch()),
      now};
}

void RecordClock(AgreedClock& clock,
                 const std::string& daemon,
                 WallTime wall,
                 const RoundTrip& trip) {
  if (const auto sample = MakeSample(wall, trip)) {
    clock.others_[daemon] = *sample;
  }
}

void RecordRelayTime(AgreedClock& clock,
                     WallTime agreed,
                     const RoundTrip& trip) {
  if (const auto sample = MakeSample(agreed, trip)) {
    clock.relay_ = sample;
  }
}

void Agree(AgreedClock& clock, BootInstant now) {
  for (auto it = clock.others_.begin(); it != clock.others_.end();) {
    it = now - it->second.taken_ > kMaxSampleAge ? clock.others_.erase(it)
                                                 : std::next(it);
  }
  std::vector<ClockOffset> offsets;
  if (IsFresh(clock.own_, now)) {
    offsets.push_back(clock.own_->offset_);
  }
  for (const auto& [daemon, sample] : clock.others_) {
    offsets.push_back(sample.offset_);
  }
  if (IsFresh(clock.relay_, now)) {
    clock.contradicted_since_.reset();
    clock.offset_ = clock.relay_->offset_;
  } else if (offsets.size() >= kMinClocks) {
    clock.contradicted_since_.reset();
    clock.offset_ = Median(std::move(offsets), clock.offset_);
  } else if (!offsets.empty()) {
    AgreeByFew(clock, Median(std::move(offsets), clock.offset_), now);
  }
}

std::optional<WallTime> AgreedTime(const AgreedClock& clock, BootInstant now) {
  if (!clock.offset_) {
    return std::nullopt;
  }
  return ToWallTime(*clock.offset_, now);
}

}  // namespace clementinerill::usage
