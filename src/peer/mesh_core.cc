#include "peer/mesh_core.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "base/backoff.h"
#include "logging/contain_exceptions.h"
#include "logging/log.h"
#include "peer/codec.h"

namespace clementinerill {
namespace {

// Delay between attempts to dial a peer, with jitter so that the daemons do not
// all dial a restarted peer at the same time.
constexpr BackoffPolicy kRedialBackoff{std::chrono::milliseconds(100),
                                       std::chrono::seconds(5)};

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Every peer replies to pings, so three consecutive pongs are missed before a
// link is closed as silent.
constexpr int kPingsPerSilenceTimeout = 4;

constexpr auto kBinary = websocketpp::frame::opcode::binary;

Instant Now() {
  return std::chrono::steady_clock::now();
}

std::string MakeUri(const DialTarget& target) {
  const bool is_v6 = target.address_.find(':') != std::string::npos;
  const std::string host =
      is_v6 ? '[' + target.address_ + ']' : target.address_;
  return "ws://" + host + ':' + std::to_string(target.port_) + "/peer";
}

}  // namespace

MeshCore::MeshCore(PeerMeshOptions options, PeerCallbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks)) {
  ConfigureEndpoint(server_);
  ConfigureEndpoint(client_);
}

template <typename Endpoint>
void MeshCore::ConfigureEndpoint(Endpoint& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&io_);
  const auto handshake = ToMilliseconds(options_.silence_timeout_);
  endpoint.set_open_handshake_timeout(static_cast<long>(handshake));
  endpoint.set_close_handshake_timeout(static_cast<long>(handshake));
  // A handshake has no body. The default of 32 MB would be kept for each
  // connection.
  endpoint.set_max_http_body_size(0);
  // With Nagle's algorithm, a heartbeat would wait for the TCP acknowledgement
  // of the previous one.
  endpoint.set_tcp_post_init_handler(
      [&endpoint](const WebSocketHandle& handle) {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!error) {
          boost::system::error_code ignored;
          connection->get_raw_socket().set_option(
              boost::asio::ip::tcp::no_delay(true), ignored);
        }
      });
  endpoint.set_open_handler(
      [this](const WebSocketHandle& handle) { OnOpen(handle); });
  endpoint.set_close_handler(
      [this](const WebSocketHandle& handle) { OnClosed(handle); });
  endpoint.set_fail_handler(
      [this](const WebSocketHandle& handle) { OnClosed(handle); });
  endpoint.set_ping_handler(
      [this](const WebSocketHandle& handle, const std::string& /*payload*/) {
        OnFrame(handle);
        return true;
      });
  endpoint.set_pong_handler(
      [this](const WebSocketHandle& handle, const std::string& /*payload*/) {
        OnFrame(handle);
      });
  endpoint.set_message_handler(
      [this](const WebSocketHandle& handle,
             const typename Endpoint::message_ptr& message) {
        OnMessage(handle, message->get_payload());
      });
}

Result<uint16_t> MeshCore::Listen() {
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(options_.self_.address_, error);
  if (error) {
    return Fail("listen address '" + options_.self_.address_ +
                "': " + error.message());
  }
  websocketpp::lib::error_code status;
  server_.set_reuse_addr(true);
  server_.listen({address, options_.self_.port_}, status);
  if (!status) {
    server_.start_accept(status);
  }
  if (status) {
    return Fail("cannot listen on " + options_.self_.address_ + ':' +
                std::to_string(options_.self_.port_) + ": " + status.message());
  }
  boost::system::error_code endpoint_error;
  options_.self_.port_ = server_.get_local_endpoint(endpoint_error).port();
  return options_.self_.port_;
}

void MeshCore::Run() {
  ScheduleTick();
  // Returns early only if an exception has left a handler.
  while (!io_.stopped()) {
    ContainExceptions("peer", [this] { io_.run(); });
  }
}

void MeshCore::AddTarget(const std::string& name, DialTarget target) {
  if (stopping_ || name == options_.self_.name_) {
    return;
  }
  DialTarget& entry = targets_[name];
  target.dialing_ = entry.dialing_;
  entry = std::move(target);
}

void MeshCore::RemoveTarget(const std::string& name) {
  targets_.erase(name);
  for (const auto& link : ready_links_.FindAll(name)) {
    Terminate(*link, "removed");
  }
}

void MeshCore::SendOnLink(PeerLink& link, const std::string& bytes) {
  // An error means that the link is closing; `OnClosed` handles that.
  (void)link.connection_->send(bytes, kBinary);
  link.posted_bytes_ -= bytes.size();
  link.buffered_bytes_ = link.connection_->get_buffered_amount();
}

void MeshCore::Shutdown() {
  stopping_ = true;
  stop_deadline_ = Now() + options_.silence_timeout_;
  targets_.clear();
  ready_links_.Clear();
  websocketpp::lib::error_code ignored;
  server_.stop_listening(ignored);
  for (const auto& [handle, link] : all_links_) {
    link->connection_->close(websocketpp::close::status::going_away, "stopping",
                             ignored);
  }
}

void MeshCore::ScheduleTick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const Instant now = Now();
    if (stopping_ && (all_links_.empty() || now >= stop_deadline_)) {
      io_.stop();
      return;
    }
    ScheduleTick();
    Tick(now);
  });
}

void MeshCore::Tick(Instant now) {
  std::vector<std::shared_ptr<PeerLink>> links;
  links.reserve(all_links_.size());
  for (const auto& [handle, link] : all_links_) {
    links.push_back(link);
  }
  for (const auto& link : links) {
    if (link->open_) {
      CheckLink(*link, now);
    }
  }
  for (auto& [name, target] : targets_) {
    const bool linked = target.dialing_ || ready_links_.Find(name) != nullptr;
    if (!linked && now >= target.next_dial_) {
      Dial(name, target, now);
    }
  }
}

void MeshCore::CheckLink(PeerLink& link, Instant now) {
  link.buffered_bytes_ = link.connection_->get_buffered_amount();
  if (now - link.last_received_ >= options_.silence_timeout_) {
    Terminate(link, "silent");
    return;
  }
  // A healthy link receives a pong in every quarter of the timeout; a link that
  // has received nothing for half of it is no longer preferred.
  if (link.ready_ &&
      now - link.last_received_ >= options_.silence_timeout_ / 2) {
    ready_links_.Demote(link.hello_.name_, &link);
  }
  if (!link.ready_ && now - link.opened_at_ >= options_.silence_timeout_) {
    Terminate(link, "no hello");
    return;
  }
  if (now >= link.next_ping_) {
    link.next_ping_ = now + options_.silence_timeout_ / kPingsPerSilenceTimeout;
    websocketpp::lib::error_code ignored;
    link.connection_->ping("", ignored);
  }
}

// Skips the closing handshake, which needs a response from the peer: the peer
// may be silent or may be sending malformed messages.
void MeshCore::Terminate(PeerLink& link, const std::string& reason) {
  const std::string name = link.ready_ ? link.hello_.name_ : link.dialed_name_;
  Log(LogLevel::kInfo, "peer", "closing link",
      {{"peer", name}, {"reason", reason}});
  link.connection_->terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
}

void MeshCore::Dial(const std::string& name, DialTarget& target, Instant now) {
  websocketpp::lib::error_code error;
  const WebSocketLink connection =
      client_.get_connection(MakeUri(target), error);
  if (error) {
    ScheduleRedial(target, now);
    return;
  }
  auto link = std::make_shared<PeerLink>();
  link->connection_ = connection;
  link->dialed_name_ = name;
  all_links_[connection->get_handle()] = std::move(link);
  target.dialing_ = true;
  client_.connect(connection);
}

void MeshCore::ScheduleRedial(DialTarget& target, Instant now) {
  target.dialing_ = false;
  ++target.failures_;
  target.next_dial_ =
      now + BackoffDelay(kRedialBackoff, target.failures_, random_());
}

std::shared_ptr<PeerLink> MeshCore::FindLink(
    const WebSocketHandle& handle) const {
  const auto it = all_links_.find(handle);
  return it == all_links_.end() ? nullptr : it->second;
}

void MeshCore::OnOpen(const WebSocketHandle& handle) {
  auto& link = all_links_[handle];
  if (link == nullptr) {
    link = std::make_shared<PeerLink>();
    websocketpp::lib::error_code ignored;
    link->connection_ = server_.get_con_from_hdl(handle, ignored);
  }
  link->open_ = true;
  link->opened_at_ = Now();
  link->last_received_ = link->opened_at_;
  link->next_ping_ = link->opened_at_;
  const std::string hello = EncodeMessage(options_.self_);
  link->posted_bytes_ += hello.size();
  SendOnLink(*link, hello);
}

void MeshCore::OnClosed(const WebSocketHandle& handle) {
  const auto link = FindLink(handle);
  if (link == nullptr) {
    return;
  }
  all_links_.erase(handle);
  const auto target = targets_.find(link->dialed_name_);
  if (target != targets_.end()) {
    ScheduleRedial(target->second, Now());
  }
  if (!link->ready_) {
    return;
  }
  const std::string& name = link->hello_.name_;
  if (ready_links_.Remove(name, link.get()) && callbacks_.on_peer_down_) {
    Log(LogLevel::kInfo, "peer", "link down", {{"peer", name}});
    callbacks_.on_peer_down_(name);
  }
}

void MeshCore::OnFrame(const WebSocketHandle& handle) {
  const auto link = FindLink(handle);
  if (link != nullptr) {
    link->last_received_ = Now();
  }
}

void MeshCore::OnMessage(const WebSocketHandle& handle,
                         const std::string& bytes) {
  const auto link = FindLink(handle);
  if (link == nullptr || stopping_) {
    return;
  }
  link->last_received_ = Now();
  auto message = DecodeMessage(bytes);
  if (!message) {
    Terminate(*link, Format(message.error()));
    return;
  }
  const Hello* hello = std::get_if<Hello>(&*message);
  if ((hello != nullptr) == link->ready_) {
    Terminate(*link, "hello must be the first message and only the first");
    return;
  }
  if (hello != nullptr) {
    OnHello(link, *hello);
  } else if (callbacks_.on_message_) {
    callbacks_.on_message_(link->hello_.name_, std::move(*message));
  }
}

void MeshCore::OnHello(const std::shared_ptr<PeerLink>& link,
                       const Hello& hello) {
  const bool expected =
      link->dialed_name_.empty() || link->dialed_name_ == hello.name_;
  const bool wanted =
      link->dialed_name_.empty() || targets_.count(link->dialed_name_) > 0;
  if (!wanted) {
    Terminate(*link, "removed");
    return;
  }
  if (!expected || hello.name_.empty() || hello.name_ == options_.self_.name_) {
    Terminate(*link, "unexpected name '" + hello.name_ + "'");
    return;
  }
  link->hello_ = hello;
  link->ready_ = true;
  const auto target = targets_.find(hello.name_);
  if (target != targets_.end()) {
    target->second.failures_ = 0;
  }
  const auto earlier = ready_links_.Find(hello.name_);
  const bool restarted =
      earlier && earlier->hello_.incarnation_ != hello.incarnation_;
  const bool first = ready_links_.Add(hello.name_, link);
  if (restarted) {
    CloseLinksToPreviousProcess(hello);
  }
  if ((first || restarted) && callbacks_.on_peer_up_) {
    Log(LogLevel::kInfo, "peer", "link up", {{"peer", hello.name_}});
    callbacks_.on_peer_up_(hello);
  }
}

void MeshCore::CloseLinksToPreviousProcess(const Hello& hello) {
  for (const auto& link : ready_links_.FindAll(hello.name_)) {
    if (link->hello_.incarnation_ != hello.incarnation_) {
      (void)ready_links_.Remove(hello.name_, link.get());
      Terminate(*link, "peer has restarted");
    }
  }
}

}  // namespace clementinerill
