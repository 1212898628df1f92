#ifndef CLEMENTINERILL_LOGGING_LOGGING_H_
#define CLEMENTINERILL_LOGGING_LOGGING_H_

// Includes all headers of the logging library.

#include "logging/forward_declarations.h"
#include "logging/log.h"
#include "logging/log_field.h"
#include "logging/log_line.h"
#include "logging/log_threshold.h"
#include "logging/rate_limit.h"
#include "logging/start_logging.h"
#include "logging/timestamp.h"

#endif  // CLEMENTINERILL_LOGGING_LOGGING_H_
