#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_MODEL_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_MODEL_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_upstream/upstream_faults.h"
#include "fakes/fake_upstream/upstream_options.h"
#include "fakes/fake_upstream/upstream_stats.h"
#include "fakes/index/generated_index.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief One request received by the fake upstream.
struct UpstreamQuery {
  std::string attempt_id_;
  std::string peer_;  ///< Remote address and port.
  std::string route_;
  std::string query_;
  size_t top_ = 10;
  std::chrono::steady_clock::time_point deadline_;
  std::optional<Snapshot> snapshot_;
};

/// @brief Response of the fake upstream.
struct UpstreamReply {
  int status_ = 200;
  bool not_run_ = false;
  bool close_ = false;  ///< Closes the connection without a response.
  std::string body_;
  std::optional<Snapshot> snapshot_;
  KeyRange range_;
};

/// @brief Slots, cancellation, faults and index of one fake upstream.
///
/// Thread-safe.
class UpstreamModel {
 public:
  explicit UpstreamModel(const UpstreamOptions& options);

  /// @brief Executes or rejects a query. Blocks for the service time.
  /// @param caller_disconnected Polled; true cancels the execution.
  [[nodiscard]] UpstreamReply Serve(
      const UpstreamQuery& query,
      const std::function<bool()>& caller_disconnected);

  /// @brief Cancels an attempt and waits up to 100 ms for it to stop.
  ///
  /// An attempt that arrives after its cancellation isn't executed.
  void Cancel(const std::string& attempt_id);

  /// @brief Applies faults from a JSON object. False if malformed.
  [[nodiscard]] bool SetFaults(const std::string& text);

  void AddPeer(const std::string& peer);
  void RemovePeer(const std::string& peer);

  [[nodiscard]] std::string StatsText() const;
  [[nodiscard]] std::string Offers() const;
  [[nodiscard]] std::string ProcessId() const { return process_id_; }
  [[nodiscard]] int Running() const;
  [[nodiscard]] UpstreamStats Stats() const;
  /// @brief The limit for `X-Cold`; zero if the header is omitted.
  [[nodiscard]] int AnnouncedColdLimit() const;

 private:
  using Lock = std::unique_lock<std::mutex>;

  [[nodiscard]] std::optional<UpstreamReply> Admit(const UpstreamQuery& query);
  [[nodiscard]] UpstreamReply RunAdmitted(
      const UpstreamQuery& query,
      const std::function<bool()>& caller_disconnected);
  [[nodiscard]] std::optional<UpstreamReply> SimulateServiceTime(
      Lock& lock,
      const UpstreamQuery& query,
      const std::function<bool()>& caller_disconnected);
  void RecordColdResponse();
  [[nodiscard]] UpstreamReply Search(const UpstreamQuery& query,
                                     const Snapshot& snapshot) const;

  const UpstreamOptions options_;
  const std::string process_id_;
  const KeyRange range_;
  const std::vector<Document> documents_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Snapshot> offers_;
  UpstreamFaults faults_;
  UpstreamStats stats_;
  std::set<std::string> cancelled_;
  std::set<std::string> running_ids_;
  std::set<std::string> peers_;
  int running_ = 0;
  int cold_responses_ = 0;  ///< Responses at the current cold limit.
  std::mt19937_64 random_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_MODEL_H_
