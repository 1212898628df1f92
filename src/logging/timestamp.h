#ifndef CLEMENTINERILL_LOGGING_TIMESTAMP_H_
#define CLEMENTINERILL_LOGGING_TIMESTAMP_H_

#include <string>

#include <boost/date_time/posix_time/posix_time.hpp>

namespace clementinerill {

/// @brief Formats a UTC time as `2026-01-31T12:00:00.000000Z`.
///
/// The width is fixed, so that sorting lines as text sorts them by time.
[[nodiscard]] std::string FormatTimestamp(const boost::posix_time::ptime& time);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_TIMESTAMP_H_
