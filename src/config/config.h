#ifndef CLEMENTINERILL_CONFIG_CONFIG_H_
#define CLEMENTINERILL_CONFIG_CONFIG_H_

// Umbrella header of the config library.

#include "config/configuration.h"
#include "config/configuration_json.h"
#include "config/failure_domain.h"
#include "config/forward_declarations.h"
#include "config/labels.h"
#include "config/pool.h"
#include "config/route.h"
#include "config/route_kind.h"
#include "config/selector.h"
#include "config/service.h"
#include "config/upstream.h"
#include "config/validate_configuration.h"

#endif  // CLEMENTINERILL_CONFIG_CONFIG_H_
