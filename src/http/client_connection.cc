#include "http/client_connection.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include "http/parsed_headers.h"
#include "http/socket_options.h"

namespace clementinerill::http {

namespace asio = boost::asio;
using boost::system::error_code;

ClientConnection::ClientConnection(EventLoop& loop,
                                   const std::string& address,
                                   uint16_t port,
                                   uint64_t most_answer_bytes)
    : loop_(loop),
      socket_(loop.Context()),
      endpoint_(asio::ip::make_address(address), port),
      most_answer_bytes_(most_answer_bytes),
      last_use_(EventLoop::Now()) {}

void ClientConnection::Open() {
  Connect();
}

void ClientConnection::Connect() {
  error_code error;
  socket_.open(endpoint_.protocol(), error);
  if (error) {
    // Out of descriptors: reported like a refused connection.
    const auto self = shared_from_this();
    loop_.Post([self] { self->Finish(ExchangeOutcome::kNotSent); });
    return;
  }
  SetNoDelay(socket_);
  if (probes_) {
    SetKeepAlive(socket_, {});
  }
  connecting_ = true;
  const auto self = shared_from_this();
  socket_.async_connect(endpoint_, [self](const error_code& failed) {
    self->connecting_ = false;
    if (self->closed_) {
      return;
    }
    if (failed) {
      self->Finish(ExchangeOutcome::kNotSent);
      return;
    }
    self->connected_ = true;
    self->socket_.non_blocking(true);
    if (self->busy_) {
      self->Write();
    }
    self->Read();
  });
}

void ClientConnection::Start(ExchangeRequest request, Handler handler) {
  request_ = std::move(request);
  handler_ = std::move(handler);
  busy_ = true;
  sent_ = false;
  written_ = 0;
  StartParser();
  if (connected_) {
    Write();
  } else if (!connecting_) {
    Connect();
  }
}

void ClientConnection::StartParser() {
  parser_.emplace();
  parser_->body_limit(most_answer_bytes_);
  parser_->eager(true);
  parser_->skip(request_.is_head_);
}

void ClientConnection::Write() {
  error_code error;
  const size_t bytes = socket_.write_some(asio::buffer(request_.bytes_), error);
  written_ = error ? 0 : bytes;
  sent_ = sent_ || written_ > 0;
  if (error && error != asio::error::would_block) {
    const auto self = shared_from_this();
    // The handler must not run inside `Start`.
    loop_.Post([self] { self->OnEnd(); });
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
                        // The rest of the body cannot follow; an answer may
                        // still arrive.
                        self->reusable_ = false;
                      }
                    });
}

void ClientConnection::Read() {
  const auto self = shared_from_this();
  socket_.async_read_some(asio::buffer(chunk_),
                          [self](const error_code& error, size_t bytes) {
                            if (!self->closed_) {
                              self->OnRead(error, bytes);
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
        TakeAnswer();
        return;
      }
    }
    OnEnd();
    return;
  }
  if (!busy_) {
    // Bytes that answer no request belong to none.
    CloseSocket();
    return;
  }
  in_.append(chunk_.data(), bytes);
  const auto self = shared_from_this();
  Parse();
  if (!closed_) {
    Read();
  }
}

void ClientConnection::OnEnd() {
  if (busy_) {
    Finish(sent_ ? ExchangeOutcome::kBroken : ExchangeOutcome::kNotSent);
  } else {
    CloseSocket();
  }
}

void ClientConnection::Parse() {
  while (!closed_ && busy_ && !in_.empty()) {
    error_code error;
    const size_t used = parser_->put(asio::buffer(in_), error);
    in_.erase(0, used);
    if (IsTooLong()) {
      Finish(ExchangeOutcome::kGarbled);
      return;
    }
    if (parser_->is_done()) {
      TakeAnswer();
      continue;
    }
    if (error == boost::beast::http::error::need_more) {
      return;
    }
    if (error) {
      Finish(ExchangeOutcome::kGarbled);
      return;
    }
    if (used == 0) {
      return;
    }
  }
  if (!closed_ && !busy_ && !in_.empty()) {
    CloseSocket();
  }
}

// Boost.Beast 1.74 does not apply its body limit to the stated length of an
// answer.
bool ClientConnection::IsTooLong() const {
  const auto length = parser_->content_length();
  return (length && *length > most_answer_bytes_) ||
         parser_->get().body().size() > most_answer_bytes_;
}

void ClientConnection::TakeAnswer() {
  HttpResponse answer;
  auto message = parser_->release();
  answer.status_ = static_cast<int>(message.result_int());
  answer.keep_alive_ = message.keep_alive() && reusable_;
  answer.headers_ = HeadersOf(message);
  answer.body_ = std::move(message.body());
  if (answer.status_ < 200) {
    StartParser();  // An interim answer; the final one follows.
    return;
  }
  if (request_.is_matching_response_ &&
      !request_.is_matching_response_(answer)) {
    // The answer to an earlier request. The right one may follow, but what
    // else comes on this connection is unknown.
    reusable_ = false;
    if (!answer.keep_alive_) {
      Finish(ExchangeOutcome::kGarbled);
      return;
    }
    StartParser();
    return;
  }
  if (!answer.keep_alive_ || written_ < request_.bytes_.size() ||
      !in_.empty()) {
    reusable_ = false;
  }
  Finish(ExchangeOutcome::kResponse, std::move(answer));
}

void ClientConnection::Finish(ExchangeOutcome end, HttpResponse answer) {
  const auto self = shared_from_this();
  last_use_ = EventLoop::Now();
  busy_ = false;
  parser_.reset();
  Handler handler = std::move(handler_);
  handler_ = nullptr;
  if (end != ExchangeOutcome::kResponse || !reusable_) {
    CloseSocket();
  }
  if (handler) {
    handler({end, std::move(answer)});
  }
}

void ClientConnection::Close() {
  handler_ = nullptr;
  request_.is_matching_response_ = nullptr;
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
  error_code ignored;
  socket_.close(ignored);
  const auto callback = std::move(on_closed_);
  on_closed_ = nullptr;
  if (callback) {
    callback();
  }
}

}  // namespace clementinerill::http
