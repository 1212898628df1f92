// The responses of `ServerConnection`.

#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/release_memory.h"
#include "http/server_connection.h"
#include "logging/log.h"

namespace clementinerill::http {

namespace asio = boost::asio;
using boost::system::error_code;

void ServerConnection::Respond(const HttpResponse& response, bool close) {
  if (closed_ || !serving_) {
    return;
  }
  serving_ = false;
  serving_body_bytes_ = 0;
  // Fewer bytes are always allowed.
  static_cast<void>(request_hold_.TryResize(BufferedBytes()));
  on_disconnect_ = nullptr;
  const bool closes = close || !keep_alive_;
  loop_.Guard().Run(
      HandlerKind::kRequest,
      [&] { Write(ToBytes(response, closes, is_head_), closes); },
      [this] { Close(); });
}

void ServerConnection::SendInterim(int status) {
  if (closed_ || writing_) {
    return;
  }
  const std::string bytes = "HTTP/1.1 " + std::to_string(status) + " " +
                            std::string(ReasonPhrase(status)) + "\r\n\r\n";
  error_code ignored;
  // Synchronous write: these few bytes fit into any socket send buffer.
  socket_.write_some(asio::buffer(bytes), ignored);
}

bool ServerConnection::IsPeerClosed() {
  char byte = 0;
  error_code error;
  const size_t bytes = socket_.receive(
      asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  return error ? error != asio::error::would_block : bytes == 0;
}

void ServerConnection::Write(std::string bytes, bool close) {
  writing_ = true;
  output_ = std::move(bytes);
  last_progress_ = EventLoop::Now();
  const auto self = shared_from_this();
  error_code error;
  sent_ = socket_.write_some(asio::buffer(output_), error);
  if (!error && sent_ == output_.size()) {
    // Posted, so that the next request is not dispatched from within `Respond`.
    loop_.Post(
        [self, close] { self->Contain([&] { self->OnWritten(close); }); });
    return;
  }
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  HoldResponse();
  WriteRest(close);
}

// A response that is larger than the whole budget is sent all the same: its
// size has a limit, and others have made room.
void ServerConnection::HoldResponse() {
  while (!response_hold_.TryResize(output_.size()) && make_room_ &&
         make_room_()) {
  }
  has_unsent_response_ = true;
}

void ServerConnection::WriteRest(bool close) {
  const auto self = shared_from_this();
  socket_.async_write_some(
      asio::buffer(output_.data() + sent_, output_.size() - sent_),
      [self, close](const error_code& error, size_t bytes) {
        self->Contain([&] { self->OnWrittenSome(error, bytes, close); });
      });
}

void ServerConnection::OnWrittenSome(const error_code& error,
                                     size_t bytes,
                                     bool close) {
  if (closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  sent_ += bytes;
  last_progress_ = EventLoop::Now();
  if (sent_ == output_.size()) {
    OnWritten(close);
  } else {
    WriteRest(close);
  }
}

void ServerConnection::DropResponse(Instant now) {
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kWarning, "caller", "response dropped, not read",
            {{"unsent_bytes", output_.size() - sent_},
             {"unread_ms", ToMilliseconds(now - last_progress_)}});
  Close();
}

void ServerConnection::OnWritten(bool close) {
  if (closed_) {
    return;
  }
  writing_ = false;
  ReleaseMemory(output_);
  has_unsent_response_ = false;
  has_responded_ = true;
  response_hold_.Release();
  last_use_ = EventLoop::Now();
  request_start_ = last_use_;
  if (close) {
    if (discarding_) {
      error_code ignored;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      Read();
    } else {
      Close();
    }
    return;
  }
  Parse();
  Read();
}

}  // namespace clementinerill::http
