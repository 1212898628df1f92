#include "http/listener.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>

#include "logging/log.h"

namespace clementinerill::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Length of the accept queue. When it is full, the kernel drops connection
// requests and clients wait seconds for the retransmission.
constexpr int kBacklog = 1024;

// Delay before the next attempt after `accept` failed, for example because no
// file descriptor was free.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

RateLimitedLogger& AcceptFailures() {
  static RateLimitedLogger site;
  return site;
}

}  // namespace

Listener::Listener(EventLoop& loop, ServerConnection::Handler handler)
    : loop_(loop), acceptor_(loop.Context()), handler_(std::move(handler)) {}

Result<uint16_t> Listener::Listen(const std::string& address, uint16_t port) {
  error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    return Fail("listen address must be a numeric IP address");
  }
  const asio::ip::tcp::endpoint endpoint(ip, port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  if (error) {
    return Fail("cannot listen on " + address + ":" + std::to_string(port) +
                ": " + error.message());
  }
  Accept();
  return acceptor_.local_endpoint().port();
}

void Listener::Accept() {
  if (!HasRoom()) {
    AcceptLater();
    return;
  }
  acceptor_.async_accept([this](const error_code& error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    is_accepting_ = loop_.Guard().TryRun(
        HandlerKind::kAccept, [&] { OnAccepted(error, std::move(socket)); });
  });
  is_accepting_ = true;
}

void Listener::OnAccepted(const error_code& error,
                          asio::ip::tcp::socket socket) {
  if (error) {
    OnAcceptFailed(error);
    return;
  }
  if (connections_.size() >= max_connections_) {
    CloseOneForRoom();
  }
  loop_.Guard().Run(HandlerKind::kAccept, [&] { Open(std::move(socket)); });
  Accept();
}

void Listener::AcceptLater() {
  loop_.Timers().Add(EventLoop::Now() + kAcceptRetryDelay, [this] {
    if (acceptor_.is_open()) {
      is_accepting_ = false;
      Accept();
    }
  });
  is_accepting_ = true;
}

void Listener::OnAcceptFailed(const error_code& error) {
  AcceptFailures().Log(EventLoop::Now(), LogLevel::kWarning, "listener",
                       "accept failed", {{"error", error.message()}});
  if (error == asio::error::no_descriptors) {
    CloseOneForRoom();
  }
  AcceptLater();
}

void Listener::Open(asio::ip::tcp::socket socket) {
  const auto connection = std::make_shared<ServerConnection>(
      loop_, std::move(socket), limits_, handler_);
  connections_.push_back(connection);
  loop_.Guard().Run(
      HandlerKind::kAccept, [&] { Start(*connection); },
      [&] { connection->Close(); });
}

void Listener::Start(ServerConnection& connection) {
  connection.SetRequestBudget(request_budget_);
  connection.SetResponseBudget(response_budget_,
                               [this] { return DropLeastRecentlyRead(); });
  connection.SetOnReject(on_reject_);
  connection.SetRejection(make_rejection_);
  connection.SetHeadCheck(head_check_);
  connection.Start();
}

bool Listener::HasRoom() {
  if (connections_.size() >= max_connections_) {
    RemoveClosed();
  }
  return connections_.size() < max_connections_ ||
         FindConnectionToClose() != connections_.end();
}

Listener::Connections::iterator Listener::FindConnectionToClose() {
  std::vector<ConnectionState> states;
  states.reserve(connections_.size());
  for (const auto& connection : connections_) {
    states.push_back(connection->State());
  }
  const auto chosen = ChooseConnectionToClose(states, EventLoop::Now());
  return chosen ? std::next(connections_.begin(),
                            static_cast<std::ptrdiff_t>(*chosen))
                : connections_.end();
}

bool Listener::CloseOneForRoom() {
  RemoveClosed();
  const auto position = FindConnectionToClose();
  if (position == connections_.end()) {
    return false;
  }
  static RateLimitedLogger lines;
  const Instant now = EventLoop::Now();
  const ConnectionState state = (*position)->State();
  lines.Log(now, LogLevel::kWarning, "listener", "connection closed for room",
            {{"use", NameOf(kConnectionUseNames, state.use_)},
             {"unchanged_ms", ToMilliseconds(now - state.since_)},
             {"open", connections_.size()}});
  ++closed_for_room_;
  (*position)->Close();
  connections_.erase(position);
  return true;
}

void Listener::RemoveClosed() {
  connections_.remove_if(
      [](const auto& connection) { return connection->IsClosed(); });
}

bool Listener::DropLeastRecentlyRead() {
  std::shared_ptr<ServerConnection> oldest;
  for (const auto& connection : connections_) {
    if (connection->HasUnsentResponse() &&
        (!oldest || connection->LastProgress() < oldest->LastProgress())) {
      oldest = connection;
    }
  }
  if (!oldest) {
    return false;
  }
  oldest->DropResponse(EventLoop::Now());
  return true;
}

void Listener::StopAccepting() {
  error_code ignored;
  acceptor_.close(ignored);
}

void Listener::CheckTimeouts(bool draining, Instant now) {
  for (const auto& connection : connections_) {
    loop_.Guard().Run(
        HandlerKind::kRequest,
        [&] { connection->CheckTimeouts(limits_, draining, now); },
        [&] { connection->Close(); });
  }
  RemoveClosed();
  if (!is_accepting_ && acceptor_.is_open()) {
    Accept();
  }
}

size_t Listener::CountServing() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& connection) { return connection->IsServing(); }));
}

}  // namespace clementinerill::http
