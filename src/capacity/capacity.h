#ifndef CLEMENTINERILL_CAPACITY_CAPACITY_H_
#define CLEMENTINERILL_CAPACITY_CAPACITY_H_

#include "capacity/estimate.h"
#include "capacity/forward_declarations.h"
#include "capacity/shared_estimate.h"
#include "capacity/spread.h"

#endif  // CLEMENTINERILL_CAPACITY_CAPACITY_H_
