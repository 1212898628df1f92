#include "logging/start_logging.h"

#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/utility/formatting_ostream.hpp>
#include <boost/make_shared.hpp>

#include "logging/log_threshold.h"
#include "logging/timestamp.h"

namespace clementinerill {
namespace {

namespace log = boost::log;

using Backend = log::sinks::text_ostream_backend;
using Sink = log::sinks::synchronous_sink<Backend>;
using Clock = log::attributes::utc_clock;

void FormatRecord(const log::record_view& record,
                  log::formatting_ostream& line) {
  const auto time = log::extract<boost::posix_time::ptime>("TimeStamp", record);
  const auto level = log::extract<LogLevel>("Severity", record);
  // Records of third-party libraries may have no severity, or one of another
  // type.
  line << (time ? FormatTimestamp(*time) : std::string("-")) << ' ';
  line << (level ? NameOf(kLogLevelNames, *level) : "-") << ' ';
  line << record[log::expressions::smessage];
}

}  // namespace

void StartLogging(std::ostream& stream, LogLevel min_level) {
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
  backend->auto_flush(true);
  const auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(&FormatRecord);
  const auto core = log::core::get();
  core->remove_all_sinks();
  core->add_global_attribute("TimeStamp", Clock());
  core->add_sink(sink);
  LogThreshold().store(min_level, std::memory_order_relaxed);
}

void StartLogging(LogLevel min_level) {
  StartLogging(std::clog, min_level);
}

}  // namespace clementinerill
