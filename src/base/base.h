#ifndef CLEMENTINERILL_BASE_BASE_H_
#define CLEMENTINERILL_BASE_BASE_H_

// Includes all headers of the base library.

#include "base/backoff.h"
#include "base/caller_limits.h"
#include "base/error.h"
#include "base/forward_declarations.h"
#include "base/hash.h"
#include "base/invariant.h"
#include "base/log_level.h"
#include "base/name_table.h"
#include "base/parse_number.h"
#include "base/release_memory.h"
#include "base/rendezvous.h"
#include "base/response_status.h"
#include "base/result.h"
#include "base/source_position.h"
#include "base/time.h"

#endif  // CLEMENTINERILL_BASE_BASE_H_
