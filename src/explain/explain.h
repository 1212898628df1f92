#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_H_

// Umbrella header of the explain library.

#include "explain/explain_json.h"
#include "explain/explain_limits.h"
#include "explain/explain_log.h"
#include "explain/explain_ring.h"
#include "explain/explained_attempt.h"
#include "explain/explained_part.h"
#include "explain/explained_query.h"
#include "explain/forward_declarations.h"

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_H_
