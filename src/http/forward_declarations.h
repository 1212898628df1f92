#ifndef CLEMENTINERILL_HTTP_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_HTTP_FORWARD_DECLARATIONS_H_

namespace clementinerill::http {

class ClientConnection;
class EventLoop;
class HandlerGuard;
class Listener;
class ServerConnection;
class TimerQueue;
struct ConnectionState;
struct HttpRequest;
struct HttpResponse;

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_FORWARD_DECLARATIONS_H_
