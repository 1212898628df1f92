#ifndef CLEMENTINERILL_PLATFORM_PLATFORM_H_
#define CLEMENTINERILL_PLATFORM_PLATFORM_H_

// Includes the whole platform library.

#include "platform/change_id.h"
#include "platform/forward_declarations.h"
#include "platform/http_call.h"
#include "platform/http_client.h"
#include "platform/http_exchange.h"
#include "platform/platform_client.h"
#include "platform/platform_settings.h"
#include "platform/read_outcome.h"
#include "platform/read_status.h"
#include "platform/retry_budget.h"
#include "platform/versioned_object.h"
#include "platform/vm.h"
#include "platform/vm_list_json.h"
#include "platform/vm_state.h"
#include "platform/write_outcome.h"
#include "platform/write_status.h"

#endif  // CLEMENTINERILL_PLATFORM_PLATFORM_H_
