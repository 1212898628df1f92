#ifndef CLEMENTINERILL_ADMIN_ADMIN_H_
#define CLEMENTINERILL_ADMIN_ADMIN_H_

// Includes all headers of the admin library.

#include "admin/apply_change.h"
#include "admin/change_outcome.h"
#include "admin/change_result.h"
#include "admin/document_diff.h"
#include "admin/ensure_valid.h"
#include "admin/failure_domain_operations.h"
#include "admin/forward_declarations.h"
#include "admin/operation.h"
#include "admin/operations.h"
#include "admin/route_operations.h"
#include "admin/stored_configuration.h"
#include "admin/upstream_operations.h"

#endif  // CLEMENTINERILL_ADMIN_ADMIN_H_
