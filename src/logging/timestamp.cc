#include "logging/timestamp.h"

namespace clementinerill {

std::string TimestampText(const boost::posix_time::ptime& time) {
  constexpr size_t kWithoutFraction = 19;
  std::string text = boost::posix_time::to_iso_extended_string(time);
  // The library leaves out a fraction of zero.
  if (text.size() == kWithoutFraction) {
    text += ".000000";
  }
  return text + "Z";
}

}  // namespace clementinerill
