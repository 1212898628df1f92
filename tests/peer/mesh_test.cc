#include "peer/peer_mesh.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "peer/codec.h"

namespace clementinerill {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kWaitTimeout = std::chrono::seconds(60);
const auto kLoopback = boost::asio::ip::address_v4::loopback();

bool WaitFor(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// Silence timeout of tests in which no link may be closed as silent, even if
// the machine pauses the process for several seconds.
constexpr auto kLongSilenceTimeout = std::chrono::seconds(60);

// A mesh that records the events its callbacks receive.
struct TestMesh {
  explicit TestMesh(const std::string& name,
                    uint16_t port = 0,
                    uint32_t incarnation = 1,
                    Duration silence = kLongSilenceTimeout) {
    PeerMeshOptions options;
    options.self_ = {name, "127.0.0.1", port, incarnation};
    options.silence_timeout_ = silence;
    PeerCallbacks callbacks;
    callbacks.on_message_ = [this](const std::string&, const Message& message) {
      std::unique_lock<std::mutex> lock(mutex_);
      unblocked_.wait(lock, [this] { return !block_callbacks_; });
      if (const auto* forward = std::get_if<Forward>(&message)) {
        forward_ids_.push_back(forward->id_);
        body_bytes_ += forward->body_.size();
      }
    };
    callbacks.on_peer_up_ = [this](const Hello& hello) {
      ++up_count_;
      peer_incarnation_ = hello.incarnation_;
    };
    callbacks.on_peer_down_ = [this](const std::string&) { ++down_count_; };
    auto mesh = PeerMesh::Start(options, callbacks);
    REQUIRE(mesh);
    mesh_ = std::move(*mesh);
  }

  ~TestMesh() { BlockCallbacks(false); }

  void Dial(const std::string& name, uint16_t port) const {
    mesh_->Connect(name, "127.0.0.1", port);
  }

  void BlockCallbacks(bool block) {
    const std::lock_guard<std::mutex> lock(mutex_);
    block_callbacks_ = block;
    unblocked_.notify_all();
  }

  [[nodiscard]] bool IsConnectedOnlyTo(const std::string& name) const {
    return mesh_->ConnectedPeers() == std::vector<std::string>{name};
  }

  [[nodiscard]] std::vector<uint64_t> ForwardIds() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return forward_ids_;
  }

  std::mutex mutex_;
  std::condition_variable unblocked_;
  bool block_callbacks_ = false;
  std::vector<uint64_t> forward_ids_;
  size_t body_bytes_ = 0;
  std::atomic<int> up_count_{0};
  std::atomic<int> down_count_{0};
  std::atomic<uint32_t> peer_incarnation_{0};
  std::unique_ptr<PeerMesh> mesh_;  // Declared last, destroyed first.
};

Forward MakeForward(uint64_t id, size_t bytes = 0) {
  Forward forward;
  forward.id_ = id;
  forward.body_.assign(bytes, 'x');
  return forward;
}

// Guards against messages that are lost, duplicated or reordered on a link, and
// against data races between sending threads.
TEST_CASE("messages from each sending thread arrive in order", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  b.Dial("a", a.mesh_->Port());
  REQUIRE(WaitFor(
      [&] { return a.IsConnectedOnlyTo("b") && b.IsConnectedOnlyTo("a"); }));

  constexpr uint64_t kPerThread = 200;
  std::vector<std::thread> threads;
  for (uint64_t thread = 0; thread < 3; ++thread) {
    threads.emplace_back([&a, thread] {
      for (uint64_t i = 0; i < kPerThread; ++i) {
        a.mesh_->Send("b", MakeForward(thread * kPerThread + i));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  REQUIRE(WaitFor([&] { return b.ForwardIds().size() == 3 * kPerThread; }));
  std::vector<uint64_t> next = {0, kPerThread, 2 * kPerThread};
  for (const uint64_t id : b.ForwardIds()) {
    CHECK(id == next[id / kPerThread]++);
  }
  CHECK_FALSE(a.mesh_->Send("nobody", MakeForward(1)));
}

// Guards against truncating a message just below the size limit and against
// sending one above it.
TEST_CASE("messages up to the size limit are sent", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.IsConnectedOnlyTo("b"); }));
  CHECK_FALSE(a.mesh_->Send("b", MakeForward(1, kMaxMessageBytes)));
  CHECK(a.mesh_->Send("b", MakeForward(2, kMaxMessageBytes - 100)));
  CHECK(WaitFor([&] { return b.ForwardIds() == std::vector<uint64_t>{2}; }));
}

// Guards against losing queued responses when a daemon stops.
TEST_CASE("Stop sends queued messages", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.IsConnectedOnlyTo("b"); }));
  for (uint64_t id = 0; id < 100; ++id) {
    CHECK(a.mesh_->Send("b", MakeForward(id, 10000)));
  }
  a.mesh_->Stop();
  CHECK(WaitFor([&] { return b.ForwardIds().size() == 100; }));
  CHECK_FALSE(a.mesh_->Send("b", MakeForward(1)));
}

// Guards against a restarted peer that stays unreachable or whose new process
// is mistaken for the previous one.
TEST_CASE("a restarted peer is redialed", "[mesh]") {
  TestMesh a("a");
  auto b = std::make_unique<TestMesh>("b", 0, 1);
  const uint16_t port = b->mesh_->Port();
  a.Dial("b", port);
  REQUIRE(WaitFor([&] { return a.up_count_ == 1; }));
  b.reset();
  REQUIRE(WaitFor([&] { return a.down_count_ == 1; }));
  b = std::make_unique<TestMesh>("b", port, 2);
  REQUIRE(WaitFor([&] { return a.up_count_ == 2; }));
  CHECK(a.peer_incarnation_ == 2);
  CHECK(WaitFor([&] { return a.mesh_->Send("b", MakeForward(5)); }));
  CHECK(WaitFor([&] { return b->ForwardIds() == std::vector<uint64_t>{5}; }));
}

// Guards against links that stay up while the peer's callbacks are blocked, and
// against a send queue that grows without bound in the meantime.
TEST_CASE("a blocked peer is disconnected and reconnects", "[mesh]") {
  TestMesh a("a", 0, 1, milliseconds(1000));
  TestMesh b("b", 0, 1, milliseconds(1000));
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.IsConnectedOnlyTo("b"); }));
  b.BlockCallbacks(true);
  bool refused = false;
  for (uint64_t id = 0; id < 100 && !refused; ++id) {
    refused = !a.mesh_->Send("b", MakeForward(id, 1000000));
  }
  CHECK(refused);
  REQUIRE(WaitFor([&] { return a.down_count_ >= 1; }));
  b.BlockCallbacks(false);
  CHECK(WaitFor([&] { return a.up_count_ >= 2 && a.IsConnectedOnlyTo("b"); }));
}

// Guards against a dial that waits forever for a peer that accepts TCP
// connections but never completes the handshake.
TEST_CASE("a peer that never responds is redialed", "[mesh]") {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {kLoopback, 0});
  TestMesh a("a", 0, 1, milliseconds(300));
  a.Dial("silent", acceptor.local_endpoint().port());
  std::vector<tcp::socket> sockets;
  sockets.reserve(3);
  for (int i = 0; i < 3; ++i) {
    sockets.push_back(acceptor.accept());
  }
  CHECK(a.mesh_->ConnectedPeers().empty());
  CHECK(a.up_count_ == 0);
}

// Sends the bytes over a plain TCP connection and returns what is received
// until the mesh closes it.
std::string SendRawBytes(uint16_t port, const std::string& bytes) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect({kLoopback, port});
  // The mesh may close before all bytes are written.
  boost::system::error_code end;
  boost::asio::write(socket, boost::asio::buffer(bytes), end);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), end);
  return answer;
}

// Guards against unknown clients that crash the mesh, disrupt its links or keep
// a connection open.
TEST_CASE("malformed input from an unknown client closes only its connection",
          "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor(
      [&] { return a.IsConnectedOnlyTo("b") && b.IsConnectedOnlyTo("a"); }));
  const uint16_t port = b.mesh_->Port();
  const std::string upgrade =
      "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  const std::string mask(4, '\0');
  const std::string malformed_frame = "\x82\x84" + mask + "\xff\xff\xff\xff";
  const std::string oversized_frame =
      "\x82\xff" + std::string("\0\0\0\0\x7f\0\0\0", 8) + mask;

  SendRawBytes(port, std::string(100000, '\xff'));
  CHECK(SendRawBytes(port, upgrade + malformed_frame).find("101 ") == 9);
  CHECK(SendRawBytes(port, upgrade + oversized_frame).find("101 ") == 9);
  CHECK(b.IsConnectedOnlyTo("a"));
  CHECK(b.down_count_ == 0);
  CHECK(a.mesh_->Send("b", MakeForward(1)));
  CHECK(WaitFor([&] { return b.ForwardIds() == std::vector<uint64_t>{1}; }));

  // Without a hello, the connection is closed after the silence timeout.
  TestMesh c("c", 0, 1, milliseconds(300));
  SendRawBytes(c.mesh_->Port(), upgrade);
  CHECK(c.up_count_ == 0);
}

// Guards against keeping a link to a daemon that has reused the address of
// another.
TEST_CASE("a peer with an unexpected name is not accepted", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  TestMesh c("c");
  a.Dial("x", b.mesh_->Port());
  a.Dial("c", c.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.IsConnectedOnlyTo("c"); }));
  a.mesh_->Disconnect("c");
  CHECK(WaitFor([&] { return a.down_count_ == 1; }));
  CHECK_FALSE(a.mesh_->Send("x", MakeForward(1)));
}

}  // namespace
}  // namespace clementinerill
