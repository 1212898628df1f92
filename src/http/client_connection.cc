#include "http/client_connection.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include "base/release_memory.h"
#include "base/response_status.h"
#include "http/body_framing.h"
#include "http/parse_some.h"
#include "http/parsed_headers.h"
#include "http/socket_options.h"

namespace clementinerill::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limit of received bytes that do not yet form a complete element of the
// response, such as a chunk header or the trailers; the parser has no limit for
// these.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;
// Limit of interim responses before the final one.
constexpr int kMaxInterimResponses = 16;

// Checked before the body, which may last until the end of the connection.
template <typename Parser>
bool HasImpossibleStatus(const Parser& parser) {
  return parser.is_header_done() &&
         !IsPossibleStatus(static_cast<int>(parser.get().result_int()));
}

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop,
                                   const std::string& address,
                                   uint16_t port,
                                   uint64_t max_response_bytes)
    : loop_(loop),
      socket_(loop.Context()),
      endpoint_(asio::ip::make_address(address), port),
      max_response_bytes_(max_response_bytes),
      last_use_(EventLoop::Now()) {}

void ClientConnection::SetBufferAccount(
    std::shared_ptr<BufferAccount> account) {
  buffer_account_ = std::move(account);
  hold_ = BufferHold(buffer_account_);
}

void ClientConnection::Open() {
  Connect();
}

void ClientConnection::Connect() {
  error_code error;
  socket_.open(endpoint_.protocol(), error);
  if (error) {
    // For example out of file descriptors: reported like a refused connection.
    Post(&ClientConnection::OnConnectionEnd);
    return;
  }
  SetNoDelay(socket_);
  if (tcp_keep_alive_) {
    SetKeepAlive(socket_, {});
  }
  connecting_ = true;
  const auto self = shared_from_this();
  socket_.async_connect(endpoint_, [self](const error_code& failed) {
    self->Contain([&] { self->OnConnected(failed); });
  });
}

void ClientConnection::OnConnected(const error_code& error) {
  connecting_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    Finish(ExchangeOutcome::kNotSent);
    return;
  }
  connected_ = true;
  socket_.non_blocking(true);
  if (busy_) {
    Write();
  }
  Read();
}

void ClientConnection::Post(void (ClientConnection::*task)()) {
  const auto self = shared_from_this();
  loop_.Post([self, task] { self->Contain([&] { (*self.*task)(); }); });
}

// What has been received is released first: there may be no memory left.
void ClientConnection::OnException() {
  parser_.reset();
  ReleaseMemory(input_);
  reusable_ = false;
  if (busy_) {
    Finish(sent_ ? ExchangeOutcome::kBroken : ExchangeOutcome::kNotSent);
  } else {
    CloseSocket();
  }
}

void ClientConnection::Start(ExchangeRequest request, Handler handler) {
  request_ = std::move(request);
  handler_ = std::move(handler);
  busy_ = true;
  sent_ = false;
  written_ = 0;
  interim_responses_ = 0;
  ResetParser();
  if (connected_) {
    Write();
  } else if (!connecting_) {
    Connect();
  }
}

void ClientConnection::ResetParser() {
  parser_.emplace();
  parser_->body_limit(max_response_bytes_);
  parser_->skip(request_.is_head_);
}

void ClientConnection::Write() {
  if (request_.make_bytes_) {
    auto bytes = std::exchange(request_.make_bytes_, nullptr)();
    if (!bytes) {
      // The handler must not run inside `Start`.
      Post(&ClientConnection::OnWithdrawn);
      return;
    }
    request_.bytes_ = std::move(*bytes);
  }
  error_code error;
  const size_t bytes = socket_.write_some(asio::buffer(request_.bytes_), error);
  written_ = error ? 0 : bytes;
  sent_ = sent_ || written_ > 0;
  if (error && error != asio::error::would_block) {
    // The handler must not run inside `Start`.
    Post(&ClientConnection::OnConnectionEnd);
    return;
  }
  if (written_ < request_.bytes_.size()) {
    WriteRest();
  }
}

void ClientConnection::WriteRest() {
  sent_ = true;
  const auto self = shared_from_this();
  asio::async_write(socket_,
                    asio::buffer(request_.bytes_.data() + written_,
                                 request_.bytes_.size() - written_),
                    [self](const error_code& error, size_t bytes) {
                      self->written_ += bytes;
                      if (error && !self->closed_) {
                        // The rest of the request cannot be sent, but a
                        // response may still arrive.
                        self->reusable_ = false;
                      }
                    });
}

void ClientConnection::Read() {
  const auto self = shared_from_this();
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self](const error_code& error, size_t bytes) {
        if (!self->closed_) {
          self->Contain([&] { self->OnRead(error, bytes); });
        }
      });
}

void ClientConnection::OnRead(const error_code& error, size_t bytes) {
  if (error) {
    if (error == asio::error::eof && busy_ && parser_ &&
        parser_->is_header_done() && parser_->need_eof()) {
      error_code ignored;
      parser_->put_eof(ignored);
      if (parser_->is_done()) {
        reusable_ = false;
        HandleResponse();
        if (!busy_) {
          return;
        }
      }
    }
    OnConnectionEnd();
    return;
  }
  if (!busy_ || !sent_) {
    // Unsolicited data must not be taken for the next response.
    OnConnectionEnd();
    return;
  }
  input_.append(read_buffer_.data(), bytes);
  const auto self = shared_from_this();
  Parse();
  if (!closed_) {
    Read();
  }
}

void ClientConnection::OnWithdrawn() {
  if (busy_) {
    Finish(ExchangeOutcome::kWithdrawn);
  }
}

void ClientConnection::OnConnectionEnd() {
  if (busy_) {
    Finish(sent_ ? ExchangeOutcome::kBroken : ExchangeOutcome::kNotSent);
  } else {
    CloseSocket();
  }
}

void ClientConnection::Parse() {
  while (!closed_ && busy_ && !input_.empty()) {
    error_code error;
    const size_t used = ParseSome(*parser_, input_, error);
    if (HasImpossibleStatus(*parser_)) {
      Finish(ExchangeOutcome::kGarbled);
      return;
    }
    if (ExceedsLimit()) {
      CutOff(ResponseLimit::kSize);
      return;
    }
    if (!hold_.TryResize(BufferedBytes())) {
      CutOff(ResponseLimit::kBuffers);
      return;
    }
    if (parser_->is_done()) {
      HandleResponse();
      continue;
    }
    if (error && error != boost::beast::http::error::need_more) {
      Finish(ExchangeOutcome::kGarbled);
      return;
    }
    if (error || used == 0) {
      if (input_.size() > kMaxUnparsedBytes) {
        CutOff(ResponseLimit::kSize);
      }
      return;
    }
  }
  if (!closed_ && !busy_ && !input_.empty()) {
    CloseSocket();
  }
}

// Boost.Beast 1.74 does not check the Content-Length of a response against its
// body limit.
bool ClientConnection::ExceedsLimit() const {
  if (!parser_->is_header_done()) {
    return false;
  }
  const auto length = parser_->content_length();
  return (length && *length > max_response_bytes_) ||
         parser_->get().body().size() > max_response_bytes_;
}

uint64_t ClientConnection::BufferedBytes() const {
  return input_.size() + parser_->get().body().size();
}

void ClientConnection::CutOff(ResponseLimit limit) {
  cut_off_by_ = limit;
  Finish(ExchangeOutcome::kGarbled);
}

void ClientConnection::HandleResponse() {
  if (CheckBodyFraming(parser_->get()) != BodyFraming::kSupported) {
    Finish(ExchangeOutcome::kGarbled);
    return;
  }
  HttpResponse response;
  auto message = parser_->release();
  response.status_ = static_cast<int>(message.result_int());
  response.keep_alive_ = message.keep_alive() && reusable_;
  response.headers_ = CopyHeaders(message);
  response.body_ = std::move(message.body());
  if (IsInterimStatus(response.status_)) {
    ResetParser();  // The final response follows.
    OnOtherResponse(response);
    if (++interim_responses_ > kMaxInterimResponses && !closed_) {
      Finish(ExchangeOutcome::kGarbled);
    }
    return;
  }
  if (request_.is_matching_response_ &&
      !request_.is_matching_response_(response)) {
    // A response to an earlier request. The matching one may follow, but what
    // else arrives is unknown, so the connection is not reused.
    reusable_ = false;
    ResetParser();
    OnOtherResponse(response);
    if (!response.keep_alive_ && !closed_) {
      Finish(ExchangeOutcome::kGarbled);
    }
    return;
  }
  if (!response.keep_alive_ || written_ < request_.bytes_.size() ||
      !input_.empty()) {
    reusable_ = false;
  }
  Finish(ExchangeOutcome::kResponse, std::move(response));
}

void ClientConnection::OnOtherResponse(const HttpResponse& response) {
  if (request_.on_other_response_) {
    request_.on_other_response_(response);
  }
}

HttpResponse ClientConnection::IncompleteResponse() const {
  HttpResponse response;
  if (parser_ && parser_->is_header_done()) {
    response.status_ = static_cast<int>(parser_->get().result_int());
    response.headers_ = CopyHeaders(parser_->get());
  }
  return response;
}

void ClientConnection::Finish(ExchangeOutcome outcome, HttpResponse response) {
  const auto self = shared_from_this();
  if (outcome != ExchangeOutcome::kResponse) {
    response = IncompleteResponse();
  }
  last_use_ = EventLoop::Now();
  busy_ = false;
  parser_.reset();
  BufferHold hold = std::exchange(hold_, BufferHold(buffer_account_));
  Handler handler = std::move(handler_);
  handler_ = nullptr;
  const bool is_between_requests = outcome == ExchangeOutcome::kResponse ||
                                   outcome == ExchangeOutcome::kWithdrawn;
  if (!is_between_requests || !reusable_) {
    CloseSocket();
  }
  ReleaseMemory(request_.bytes_);
  request_.make_bytes_ = nullptr;
  if (handler) {
    handler({outcome, std::move(response), cut_off_by_, std::move(hold)});
  }
}

void ClientConnection::Close() {
  handler_ = nullptr;
  request_.make_bytes_ = nullptr;
  request_.is_matching_response_ = nullptr;
  request_.on_other_response_ = nullptr;
  busy_ = false;
  CloseSocket();
}

void ClientConnection::CloseSocket() {
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  closed_ = true;
  reusable_ = false;
  parser_.reset();
  ReleaseMemory(input_);
  hold_.Release();
  error_code ignored;
  socket_.close(ignored);
  const auto callback = std::move(on_closed_);
  on_closed_ = nullptr;
  if (callback) {
    callback();
  }
}

}  // namespace clementinerill::http
