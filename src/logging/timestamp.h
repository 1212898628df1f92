#ifndef CLEMENTINERILL_LOGGING_TIMESTAMP_H_
#define CLEMENTINERILL_LOGGING_TIMESTAMP_H_

#include <string>

#include <boost/date_time/posix_time/posix_time.hpp>

namespace clementinerill {

/// @brief A UTC time as `2026-01-31T12:00:00.000000Z`; always of this width, so
/// that lines sort as text.
[[nodiscard]] std::string TimestampText(const boost::posix_time::ptime& time);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_TIMESTAMP_H_
