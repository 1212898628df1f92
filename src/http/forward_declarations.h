#ifndef CLEMENTINERILL_HTTP_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_HTTP_FORWARD_DECLARATIONS_H_

namespace clementinerill::http {

class ServerConnection;
class ClientConnection;
class EventLoop;
class Listener;
class TimerQueue;
struct HttpResponse;
struct HttpRequest;

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_FORWARD_DECLARATIONS_H_
