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

constexpr auto kLimit = std::chrono::seconds(60);
const auto kLoopback = boost::asio::ip::address_v4::loopback();

bool WaitFor(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// Silence timeout of tests in which no link may close for silence, also when
// the machine stops the process for seconds.
constexpr auto kNeverSilent = std::chrono::seconds(60);

// A mesh with what its callbacks have seen.
struct TestMesh {
  explicit TestMesh(const std::string& name,
                    uint16_t port = 0,
                    uint32_t incarnation = 1,
                    Duration silence = kNeverSilent) {
    PeerMeshOptions options;
    options.self_ = {name, "127.0.0.1", port, incarnation};
    options.silence_timeout_ = silence;
    PeerCallbacks callbacks;
    callbacks.on_message_ = [this](const std::string&, const Message& message) {
      std::unique_lock<std::mutex> lock(mutex_);
      frozen_.wait(lock, [this] { return !freeze_; });
      if (const auto* forward = std::get_if<Forward>(&message)) {
        ids_.push_back(forward->id_);
        bytes_ += forward->body_.size();
      }
    };
    callbacks.on_peer_up_ = [this](const Hello& hello) {
      ++ups_;
      peer_incarnation_ = hello.incarnation_;
    };
    callbacks.on_peer_down_ = [this](const std::string&) { ++downs_; };
    auto mesh = PeerMesh::Start(options, callbacks);
    REQUIRE(mesh);
    mesh_ = std::move(*mesh);
  }

  ~TestMesh() { Freeze(false); }

  void Dial(const std::string& name, uint16_t port) const {
    mesh_->Connect(name, "127.0.0.1", port);
  }

  void Freeze(bool freeze) {
    const std::lock_guard<std::mutex> lock(mutex_);
    freeze_ = freeze;
    frozen_.notify_all();
  }

  [[nodiscard]] bool SeesOnly(const std::string& name) const {
    return mesh_->ConnectedPeers() == std::vector<std::string>{name};
  }

  [[nodiscard]] std::vector<uint64_t> Ids() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ids_;
  }

  std::mutex mutex_;
  std::condition_variable frozen_;
  bool freeze_ = false;
  std::vector<uint64_t> ids_;
  size_t bytes_ = 0;
  std::atomic<int> ups_{0};
  std::atomic<int> downs_{0};
  std::atomic<uint32_t> peer_incarnation_{0};
  std::unique_ptr<PeerMesh> mesh_;  // Last: it stops before the rest goes.
};

Forward ForwardOf(uint64_t id, size_t bytes = 0) {
  Forward forward;
  forward.id_ = id;
  forward.body_.assign(bytes, 'x');
  return forward;
}

// Guards against messages that are lost, repeated or reordered on a link, and
// against races between sending threads.
TEST_CASE("messages of several threads arrive in order", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  b.Dial("a", a.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.SeesOnly("b") && b.SeesOnly("a"); }));

  constexpr uint64_t kPerThread = 200;
  std::vector<std::thread> threads;
  for (uint64_t thread = 0; thread < 3; ++thread) {
    threads.emplace_back([&a, thread] {
      for (uint64_t i = 0; i < kPerThread; ++i) {
        a.mesh_->Send("b", ForwardOf(thread * kPerThread + i));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  REQUIRE(WaitFor([&] { return b.Ids().size() == 3 * kPerThread; }));
  std::vector<uint64_t> next = {0, kPerThread, 2 * kPerThread};
  for (const uint64_t id : b.Ids()) {
    CHECK(id == next[id / kPerThread]++);
  }
  CHECK_FALSE(a.mesh_->Send("nobody", ForwardOf(1)));
}

// Guards against a message at the limit being cut, and one above being sent.
TEST_CASE("messages up to the limit are sent", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.SeesOnly("b"); }));
  CHECK_FALSE(a.mesh_->Send("b", ForwardOf(1, kMaxMessageBytes)));
  CHECK(a.mesh_->Send("b", ForwardOf(2, kMaxMessageBytes - 100)));
  CHECK(WaitFor([&] { return b.Ids() == std::vector<uint64_t>{2}; }));
}

// Guards against queued answers that are lost when a daemon stops.
TEST_CASE("stopping writes what is queued", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.SeesOnly("b"); }));
  for (uint64_t id = 0; id < 100; ++id) {
    CHECK(a.mesh_->Send("b", ForwardOf(id, 10000)));
  }
  a.mesh_->Stop();
  CHECK(WaitFor([&] { return b.Ids().size() == 100; }));
  CHECK_FALSE(a.mesh_->Send("b", ForwardOf(1)));
}

// Guards against a restarted peer that stays unreachable, or whose new
// process is taken for the earlier one.
TEST_CASE("a restarted peer is dialed again", "[mesh]") {
  TestMesh a("a");
  auto b = std::make_unique<TestMesh>("b", 0, 1);
  const uint16_t port = b->mesh_->Port();
  a.Dial("b", port);
  REQUIRE(WaitFor([&] { return a.ups_ == 1; }));
  b.reset();
  REQUIRE(WaitFor([&] { return a.downs_ == 1; }));
  b = std::make_unique<TestMesh>("b", port, 2);
  REQUIRE(WaitFor([&] { return a.ups_ == 2; }));
  CHECK(a.peer_incarnation_ == 2);
  CHECK(WaitFor([&] { return a.mesh_->Send("b", ForwardOf(5)); }));
  CHECK(WaitFor([&] { return b->Ids() == std::vector<uint64_t>{5}; }));
}

// Guards against links that stay up on a frozen peer, and against a queue that
// grows without bound meanwhile.
TEST_CASE("a frozen peer is cut off and returns", "[mesh]") {
  TestMesh a("a", 0, 1, milliseconds(1000));
  TestMesh b("b", 0, 1, milliseconds(1000));
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.SeesOnly("b"); }));
  b.Freeze(true);
  bool refused = false;
  for (uint64_t id = 0; id < 100 && !refused; ++id) {
    refused = !a.mesh_->Send("b", ForwardOf(id, 1000000));
  }
  CHECK(refused);
  REQUIRE(WaitFor([&] { return a.downs_ >= 1; }));
  b.Freeze(false);
  CHECK(WaitFor([&] { return a.ups_ >= 2 && a.SeesOnly("b"); }));
}

// Guards against a dial that waits for ever on a peer that accepts only.
TEST_CASE("a peer that never answers is dialed again", "[mesh]") {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {kLoopback, 0});
  TestMesh a("a", 0, 1, milliseconds(300));
  a.Dial("silent", acceptor.local_endpoint().port());
  std::vector<tcp::socket> held;
  held.reserve(3);
  for (int i = 0; i < 3; ++i) {
    held.push_back(acceptor.accept());
  }
  CHECK(a.mesh_->ConnectedPeers().empty());
  CHECK(a.ups_ == 0);
}

// Connects as a stranger, sends the bytes and reads until the mesh closes.
std::string SendAsStranger(uint16_t port, const std::string& bytes) {
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

// Guards against strangers that crash the mesh, disturb its links or keep a
// connection open.
TEST_CASE("malformed bytes of a stranger close only its link", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  a.Dial("b", b.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.SeesOnly("b") && b.SeesOnly("a"); }));
  const uint16_t port = b.mesh_->Port();
  const std::string upgrade =
      "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  const std::string mask(4, '\0');
  const std::string garbage = "\x82\x84" + mask + "\xff\xff\xff\xff";
  const std::string too_large =
      "\x82\xff" + std::string("\0\0\0\0\x7f\0\0\0", 8) + mask;

  SendAsStranger(port, std::string(100000, '\xff'));
  CHECK(SendAsStranger(port, upgrade + garbage).find("101 ") == 9);
  CHECK(SendAsStranger(port, upgrade + too_large).find("101 ") == 9);
  CHECK(b.SeesOnly("a"));
  CHECK(b.downs_ == 0);
  CHECK(a.mesh_->Send("b", ForwardOf(1)));
  CHECK(WaitFor([&] { return b.Ids() == std::vector<uint64_t>{1}; }));

  // No hello: closed after the silence timeout.
  TestMesh c("c", 0, 1, milliseconds(300));
  SendAsStranger(c.mesh_->Port(), upgrade);
  CHECK(c.ups_ == 0);
}

// Guards against a link kept to a daemon that took over another's address.
TEST_CASE("a peer with another name is not accepted", "[mesh]") {
  TestMesh a("a");
  TestMesh b("b");
  TestMesh c("c");
  a.Dial("x", b.mesh_->Port());
  a.Dial("c", c.mesh_->Port());
  REQUIRE(WaitFor([&] { return a.SeesOnly("c"); }));
  a.mesh_->Disconnect("c");
  CHECK(WaitFor([&] { return a.downs_ == 1; }));
  CHECK_FALSE(a.mesh_->Send("x", ForwardOf(1)));
}

}  // namespace
}  // namespace clementinerill
