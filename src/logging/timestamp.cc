#include "logging/timestamp.h"

namespace clementinerill {

std::string FormatTimestamp(const boost::posix_time::ptime& time) {
  constexpr size_t kLengthWithoutFraction = 19;
  std::string text = boost::posix_time::to_iso_extended_string(time);
  // Boost omits the fraction if it is zero.
  if (text.size() == kLengthWithoutFraction) {
    text += ".000000";
  }
  return text + "Z";
}

}  // namespace clementinerill
