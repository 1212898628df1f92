#ifndef CLEMENTINERILL_HTTP_HTTP_H_
#define CLEMENTINERILL_HTTP_HTTP_H_

// Convenience header: includes all headers of the http library.

#include "http/body_framing.h"
#include "http/client.h"
#include "http/client_connection.h"
#include "http/connection_use.h"
#include "http/event_loop.h"
#include "http/forward_declarations.h"
#include "http/handler_guard.h"
#include "http/http_message.h"
#include "http/listener.h"
#include "http/parse_some.h"
#include "http/parsed_headers.h"
#include "http/received_body.h"
#include "http/request_error.h"
#include "http/request_head.h"
#include "http/server_connection.h"
#include "http/socket_options.h"
#include "http/timer_queue.h"

#endif  // CLEMENTINERILL_HTTP_HTTP_H_
