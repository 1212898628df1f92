#include "http/server_connection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/release_memory.h"
#include "http/body_framing.h"
#include "http/parse_some.h"
#include "http/parsed_headers.h"
#include "http/socket_options.h"
#include "logging/log.h"

namespace clementinerill::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limit of bytes read ahead for pipelined requests while one is in progress.
// Reading pauses beyond it, and a disconnect of the client is then detected
// only when the response is written.
constexpr size_t kMaxReadAhead = 64 * 1024;

// A request body and its copy for the replica.
constexpr uint64_t kCopiesOfBody = 2;

// `Retry-After` of a request that is refused for lack of memory, in seconds.
// Other daemons can take it.
constexpr const char* kBusyRetryAfterS = "0.1";

// A client that has read nothing for this long is gone: it is longer than
// callers wait for a response.
constexpr Duration kMaxUnreadTime = std::chrono::seconds(15);

// How long the body of a request that was refused by its head is read and
// discarded. Closing with unread data resets the connection, and the client may
// lose the response.
constexpr Duration kMaxDiscardTime = std::chrono::seconds(1);

// A request with its body may take this multiple of the header timeout.
constexpr int kBodyTimeoutFactor = 3;

RequestError ErrorOf(const error_code& error) {
  if (error == boost::beast::http::error::body_limit) {
    return RequestError::kBodyTooLarge;
  }
  return error == boost::beast::http::error::header_limit
             ? RequestError::kHeaderTooLarge
             : RequestError::kMalformed;
}

}  // namespace

ServerConnection::ServerConnection(EventLoop& loop,
                                   asio::ip::tcp::socket socket,
                                   const CallerLimits& limits,
                                   Handler handler)
    : loop_(loop),
      socket_(std::move(socket)),
      limits_(limits),
      handler_(std::move(handler)),
      last_progress_(EventLoop::Now()),
      last_use_(last_progress_),
      request_start_(last_use_) {}

void ServerConnection::SetRequestBudget(std::shared_ptr<BufferBudget> budget) {
  request_hold_ = BufferHold(MakeBufferAccount(std::move(budget)));
}

void ServerConnection::SetResponseBudget(std::shared_ptr<BufferBudget> budget,
                                         std::function<bool()> make_room) {
  response_hold_ = BufferHold(MakeBufferAccount(std::move(budget)));
  make_room_ = std::move(make_room);
}

void ServerConnection::Start() {
  SetNoDelay(socket_);
  LimitUnsentBytes(socket_);
  error_code ignored;
  socket_.non_blocking(true, ignored);
  ResetParser();
  Read();
}

void ServerConnection::ResetParser() {
  parser_.emplace();
  parser_->header_limit(limits_.max_header_bytes_);
  parser_->body_limit(limits_.max_body_bytes_);
  header_checked_ = false;
  continue_sent_ = false;
}

void ServerConnection::Read() {
  if (reading_ || closed_ || input_.size() >= kMaxReadAhead) {
    return;
  }
  reading_ = true;
  const auto self = shared_from_this();
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self](const error_code& error, size_t bytes) {
        self->reading_ = false;
        if (!self->closed_) {
          self->Contain([&] { self->OnRead(error, bytes); });
        }
      });
}

void ServerConnection::OnRead(const error_code& error, size_t bytes) {
  if (error) {
    Disconnect();
    return;
  }
  if (discarding_) {
    Read();
    return;
  }
  if (input_.empty() && !serving_) {
    request_start_ = EventLoop::Now();
  }
  input_.append(read_buffer_.data(), bytes);
  if (!serving_ && !writing_) {
    Parse();
  }
  // Without memory for bytes ahead, reading pauses until the response.
  if (!closed_ && request_hold_.TryResize(BufferedBytes())) {
    Read();
  }
}

void ServerConnection::Disconnect() {
  const auto callback = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
  Close();
  if (callback) {
    callback();
  }
}

// A request that has not reached the handler has not run, so it is refused.
// Whoever serves one that has is told that its client is gone.
void ServerConnection::OnException() {
  if (closed_) {
    return;
  }
  if (serving_ || writing_) {
    Disconnect();
    return;
  }
  if (!loop_.Guard().TryRun(HandlerKind::kRequest,
                            [this] { Reject(RequestError::kNoMemory); })) {
    Close();
  }
}

void ServerConnection::Parse() {
  while (!closed_ && !serving_ && !writing_ && !input_.empty()) {
    error_code error;
    const size_t used = ParseSome(*parser_, input_, error);
    if (error && error != boost::beast::http::error::need_more) {
      Reject(ErrorOf(error));
      return;
    }
    const bool head_is_new = !header_checked_ && parser_->is_header_done();
    if (const auto header_error = CheckHeader()) {
      Reject(*header_error);
      return;
    }
    if (head_is_new && RefuseByHead()) {
      return;
    }
    if (!request_hold_.TryResize(BufferedBytes())) {
      Reject(RequestError::kNoMemory);
      return;
    }
    if (parser_->is_done()) {
      DispatchRequest();
      continue;
    }
    if (parser_->is_header_done() && !continue_sent_ &&
        IsSameHeaderName(
            std::string(parser_->get()[boost::beast::http::field::expect]),
            "100-continue")) {
      continue_sent_ = true;
      SendInterim(100);
    }
    if (error == boost::beast::http::error::need_more || used == 0) {
      return;
    }
  }
}

// Checks the header section once, when it is complete.
std::optional<RequestError> ServerConnection::CheckHeader() {
  if (header_checked_ || !parser_->is_header_done()) {
    return std::nullopt;
  }
  header_checked_ = true;
  switch (CheckBodyFraming(parser_->get())) {
    case BodyFraming::kUnknownEnd:
      return RequestError::kUnknownEnd;
    case BodyFraming::kUnsupportedCoding:
      return RequestError::kUnsupportedCoding;
    case BodyFraming::kSupported:
      break;
  }
  return std::nullopt;
}

// Returns whether the request was refused. If its body is not complete, the
// connection cannot be used for another request.
bool ServerConnection::RefuseByHead() {
  const auto response =
      head_check_ ? head_check_(RequestHead(parser_->get())) : std::nullopt;
  if (!response) {
    return false;
  }
  discarding_ = !parser_->is_done();
  keep_alive_ = parser_->keep_alive();
  is_head_ = parser_->get().method() == boost::beast::http::verb::head;
  ResetParser();
  if (discarding_) {
    ReleaseMemory(input_);
  }
  serving_ = true;
  Respond(*response, discarding_ || !response->keep_alive_);
  return true;
}

void ServerConnection::DispatchRequest() {
  auto message = parser_->release();
  HttpRequest request;
  request.keep_alive_ = message.keep_alive();
  request.method_ = std::string(message.method_string());
  request.target_ = std::string(message.target());
  request.headers_ = CopyHeaders(message);
  request.body_ = std::move(message.body());
  serving_body_bytes_ = request.body_.size();
  keep_alive_ = request.keep_alive_;
  is_head_ = request.method_ == "HEAD";
  serving_ = true;
  ResetParser();
  const auto self = shared_from_this();
  const bool has_ended = loop_.Guard().TryRun(
      HandlerKind::kRequest, [&] { handler_(self, std::move(request)); });
  if (!has_ended) {
    // It may have run: no promise that it has not.
    Respond({500, {}, {}, false}, true);
  }
}

// What else was received is dropped: its beginning is not known for certain.
void ServerConnection::Reject(RequestError error) {
  HttpResponse response =
      make_rejection_ ? make_rejection_(error) : HttpResponse{};
  response.status_ = StatusOf(error);
  if (error == RequestError::kNoMemory) {
    response.headers_.emplace_back("Retry-After", kBusyRetryAfterS);
  }
  static RateLimitedLogger lines;
  lines.Log(EventLoop::Now(), LogLevel::kWarning, "caller", "request rejected",
            {{"reason", NameOf(kRequestErrorNames, error)},
             {"status", response.status_},
             {"bytes", BufferedBytes()}});
  if (on_reject_) {
    on_reject_(error);
  }
  ResetParser();
  ReleaseMemory(input_);
  serving_ = true;
  is_head_ = false;
  Respond(response, true);
}

// The body is copied once more for each attempt at a replica.
uint64_t ServerConnection::BufferedBytes() const {
  const uint64_t body = serving_body_bytes_ + parser_->get().body().size();
  return input_.size() + kCopiesOfBody * body;
}

void ServerConnection::Close() {
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  closed_ = true;
  on_disconnect_ = nullptr;
  on_reject_ = nullptr;
  head_check_ = nullptr;
  make_rejection_ = nullptr;
  handler_ = nullptr;
  make_room_ = nullptr;
  ReleaseMemory(input_);
  ReleaseMemory(output_);
  parser_.reset();
  request_hold_.Release();
  response_hold_.Release();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
}

bool ServerConnection::IsIdle() const noexcept {
  return !serving_ && !writing_ && input_.empty() &&
         (!parser_ || !parser_->got_some());
}

void ServerConnection::CheckTimeouts(const CallerLimits& limits,
                                     bool draining,
                                     Instant now) {
  limits_ = limits;
  if (HasUnsentResponse() && now - last_progress_ > kMaxUnreadTime) {
    DropResponse(now);
  }
  if (closed_ || serving_ || writing_) {
    return;
  }
  if (discarding_) {
    if (draining || now - last_use_ > kMaxDiscardTime) {
      Close();
    }
    return;
  }
  if (IsIdle()) {
    if (draining || now - last_use_ > limits.idle_timeout_) {
      Close();
    }
    return;
  }
  if (now - request_start_ > limits.header_timeout_ * kBodyTimeoutFactor) {
    Reject(RequestError::kTooSlow);
  }
}

}  // namespace clementinerill::http
