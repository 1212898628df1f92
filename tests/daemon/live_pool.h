#ifndef CLEMENTINERILL_TESTS_DAEMON_LIVE_POOL_H_
#define CLEMENTINERILL_TESTS_DAEMON_LIVE_POOL_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daemon/query_engine.h"
#include "fakes/fake_upstream/upstream_server.h"
#include "test_table.h"

namespace clementinerill {

/// @brief Fake upstreams and the query path of one daemon, in process.
class LivePool {
 public:
  explicit LivePool(const TestTable& table) : table_(table) {
    for (int s = 0; s < table.services_; ++s) {
      for (int r = 0; r < table.replicas_; ++r) {
        UpstreamOptions options;
        options.slots_ = table.slots_;
        options.connect_ms_ = 1;
        options.partition_ = static_cast<uint64_t>(s);
        options.partitions_ = static_cast<uint64_t>(table.services_);
        servers_.push_back(std::make_unique<UpstreamServer>(options));
        table_.ports_.push_back(servers_.back()->Port());
      }
    }
    dispatcher_.SetSeats(table_.Seats());
    dispatcher_.Apply(table_.Make(), Now());
    dispatcher_.Maintain(Now());
    admission_.Of("claims")->SetCapacity(table.slots_ * table.replicas_);
    for (const auto& state : dispatcher_.Upstreams()) {
      const auto signals = state->pool_.OpenAhead();
      if (signals) {
        dispatcher_.ObserveSignals(*state, *signals, Now());
      }
    }
  }

  /// @brief Runs fan-out queries from several threads; returns how many are
  /// complete.
  int Sweep(int threads, int sweeps_per_thread) {
    std::atomic<int> complete{0};
    std::vector<std::thread> callers;
    callers.reserve(static_cast<size_t>(threads));
    for (int t = 0; t < threads; ++t) {
      callers.emplace_back([&] {
        for (int i = 0; i < sweeps_per_thread; ++i) {
          complete += SweepOnce() ? 1 : 0;
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return complete;
  }

  UpstreamModel& Model(int service, int replica) {
    return servers_[service * table_.replicas_ + replica]->Model();
  }

  Dispatcher& GetDispatcher() { return dispatcher_; }

 private:
  static Instant Now() { return std::chrono::steady_clock::now(); }

  bool SweepOnce() {
    dispatcher_.Maintain(Now());
    runner_.RetryCancellations();
    QueryRequest request;
    request.request_id_ = "q" + std::to_string(++last_request_);
    request.route_ = TestTable::SweepRoute();
    request.query_ = request.request_id_;
    request.deadline_ = Now() + std::chrono::seconds(5);
    QueryTrace trace;
    const auto answer = RunQuery(
        {dispatcher_, runner_, admission_, metrics_}, request,
        [] { return false; }, trace);
    return answer.outcome_ == Outcome::kComplete;
  }

  TestTable table_;
  std::vector<std::unique_ptr<UpstreamServer>> servers_;
  std::atomic<int> last_request_{0};
  DaemonMetrics metrics_;
  Dispatcher dispatcher_;
  AdmissionControl admission_;
  TaskPool exchange_pool_{32};
  TaskPool control_pool_{4};
  AttemptRunner runner_{dispatcher_, exchange_pool_, control_pool_};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_DAEMON_LIVE_POOL_H_
