#ifndef CLEMENTINERILL_USAGE_USAGE_H_
#define CLEMENTINERILL_USAGE_USAGE_H_

#include "usage/agreed_clock.h"
#include "usage/count_table.h"
#include "usage/forward_declarations.h"
#include "usage/message.h"
#include "usage/own_counter.h"
#include "usage/report_book.h"
#include "usage/report_sender.h"
#include "usage/revise_book.h"
#include "usage/window.h"

#endif  // CLEMENTINERILL_USAGE_USAGE_H_
