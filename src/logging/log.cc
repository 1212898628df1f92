#include "logging/log.h"

#include <boost/log/core.hpp>
#include <boost/log/keywords/severity.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_feature.hpp>
#include <boost/log/sources/severity_logger.hpp>

#include "logging/log_line.h"
#include "logging/log_threshold.h"

namespace clementinerill {

bool IsLogged(LogLevel level) noexcept {
  return level >= LogThreshold().load(std::memory_order_relaxed);
}

void Log(LogLevel level,
         std::string_view part,
         std::string_view sentence,
         const LogFields& fields) {
  if (!IsLogged(level)) {
    return;
  }
  static boost::log::sources::severity_logger_mt<LogLevel> logger;
  BOOST_LOG_SEV(logger, level) << LogLine(part, sentence, fields);
}

void RateLimitedLogger::Log(Instant now,
                            LogLevel level,
                            std::string_view part,
                            std::string_view sentence,
                            const LogFields& fields) {
  if (!IsLogged(level)) {
    return;
  }
  LogRateVerdict verdict;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    verdict = AdmitLogLine(limit_, state_, now);
  }
  if (!verdict.write_) {
    return;
  }
  LogFields all_fields = fields;
  if (verdict.suppressed_ > 0) {
    all_fields.emplace_back("suppressed", verdict.suppressed_);
  }
  clementinerill::Log(level, part, sentence, all_fields);
}

void RateLimitedLogger::ReportSuppressed(Instant now, std::string_view part) {
  uint64_t suppressed = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    suppressed = TakeSuppressed(limit_, state_, now);
  }
  if (suppressed > 0) {
    clementinerill::Log(LogLevel::kWarning, part, "lines suppressed",
                        {{"suppressed", suppressed}});
  }
}

}  // namespace clementinerill
